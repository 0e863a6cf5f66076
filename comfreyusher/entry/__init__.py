"""The entry of a request: from the caller to the owner, and the answer back."""

from comfreyusher.entry._arrive import ARRIVAL, GRANTED, HANDED_OVER
from comfreyusher.entry._claims import Claim, ClaimState
from comfreyusher.entry._keys import Key, KeyKind, KeyRefused, mint_key, parse_key
from comfreyusher.entry._state import (
    EntryState,
    GroupPlace,
    Visit,
    new_entry_state,
)
from comfreyusher.entry._task import EntryTask, Situation

__all__ = [
    "ARRIVAL",
    "GRANTED",
    "HANDED_OVER",
    "Claim",
    "ClaimState",
    "EntryState",
    "EntryTask",
    "GroupPlace",
    "Key",
    "KeyKind",
    "KeyRefused",
    "Situation",
    "Visit",
    "mint_key",
    "new_entry_state",
    "parse_key",
]

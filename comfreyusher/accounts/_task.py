"""The task that keeps this node's account entries and replicas of other nodes'."""

import dataclasses

from absl import logging

from comfreyusher.accounts import _kept, _ledger, _replicas
from comfreyusher.accounts._messages import FlushAccounts, RequestAccepted, RequestEnded
from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe
from comfreyusher.messages import PeerDisconnected, ReplicationAck, ReplicationRequest
from comfreyusher.platform import Appended, AppendFailed, EraChanged, Topic
from comfreyusher.telemetry import RecordsRepublished

CHANNEL = "accounts"
LOG_PREFIX = "accounts:"
REPLICATION_CHECK_PERIOD_S = 0.1
FLUSH_PERIOD_S = 2.0
# Limit on the appends of all nodes of the fleet together.
MAX_FLEET_APPENDS_PER_S = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationViewChanged:
    """The ids of the live nodes, and the node that keeps this node's replicas."""

    live_nodes: frozenset
    replica_node: str


@dataclasses.dataclass(frozen=True, slots=True)
class AccountsFlushed:
    """All ended entries are in the log."""


class AccountTask(Task):
    """Applies decisions on entries and replicas, and sends their messages.

    ``store_era`` is the newest era of the store, ``kept`` what it may lose.
    """

    def __init__(self, node, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.ledger = _ledger.new_ledger(node)
        self.replicas = _replicas.Replicas(node)
        self.live_nodes = frozenset((node,))
        self.kept = _kept.KeptRecords()
        self.store_era = 0
        self.closing = False
        self.checking_replication = False
        self.flush_period_s = FLUSH_PERIOD_S
        self.message_handlers = {
            EraChanged: self.handle_era_changed,
            RequestAccepted: self.handle_request_accepted,
            RequestEnded: self.handle_request_ended,
            ReplicationRequest: self.handle_replication_request,
            ReplicationAck: self.handle_replication_ack,
            PeerDisconnected: self.handle_peer_disconnected,
            Appended: self.handle_appended,
            AppendFailed: self.handle_append_failed,
            ReplicationViewChanged: self.handle_replication_view_changed,
            FlushAccounts: self.handle_flush_accounts,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Subscribe to the ticks of flushes."""
        self.send_message("timers", Subscribe(CHANNEL, "flush", FLUSH_PERIOD_S))

    def handle_request_accepted(self, accepted):
        """Add the entry of a request."""
        self._apply_ledger_step(_ledger.add_entry(self.ledger, accepted, self.clock()))
        self._update_replication_ticks()

    def _update_replication_ticks(self):
        """Subscribe to ticks only while a replication batch can time out."""
        if self.ledger.replicating and not self.checking_replication:
            self.send_message(
                "timers", Subscribe(CHANNEL, "replication", REPLICATION_CHECK_PERIOD_S)
            )
        elif self.checking_replication and not self.ledger.replicating:
            self.send_message("timers", Unsubscribe(CHANNEL, "replication"))
        self.checking_replication = bool(self.ledger.replicating)

    def handle_request_ended(self, ended):
        """Record the outcome of a request."""
        self._apply_ledger_step(_ledger.end_entry(self.ledger, ended, self.clock()))
        if self.closing:
            self._apply_ledger_step(_ledger.flush(self.ledger))

    def handle_replication_request(self, request):
        """Store replicas of another node's entries."""
        before = self.replicas
        self._apply_replicas_step(_replicas.store_replicas(self.replicas, request))
        if self.store_era:
            key, text = _replicas.build_logged_record(
                before, self.replicas, request.origin
            )
            self._keep(key, text, request.origin)

    def handle_replication_ack(self, ack):
        """Release the responses of an acknowledged replication batch."""
        if ack.replica == self.ledger.replica_node:
            step = _ledger.confirm_replication(self.ledger, ack, self.clock())
            self._apply_ledger_step(step)

    def handle_peer_disconnected(self, disconnected):
        """Release the responses that wait for a node without a connection."""
        if disconnected.node == self.ledger.replica_node:
            self._apply_ledger_step(
                _ledger.cancel_replication(self.ledger, self.clock())
            )

    def handle_replication_view_changed(self, changed):
        """Update the live nodes, the flush period and the replica node."""
        self.live_nodes = changed.live_nodes
        count = max(1, len(changed.live_nodes))
        self._set_flush_period(max(FLUSH_PERIOD_S, count / MAX_FLEET_APPENDS_PER_S))
        step = _ledger.change_replica_node(
            self.ledger, changed.replica_node, self.clock()
        )
        self._apply_ledger_step(step)

    def _set_flush_period(self, period_s):
        """Keep the appends of the whole fleet within the rate limit of the log."""
        if period_s != self.flush_period_s:
            self.flush_period_s = period_s
            self.send_message("timers", Subscribe(CHANNEL, "flush", period_s))

    def handle_flush_accounts(self, _):
        """Append all ended entries and close this origin."""
        self.closing = True
        self._apply_ledger_step(_ledger.close(self.ledger))
        self._rewrite_next()
        self._report_if_flushed()

    # Log -----------------------------------------------------------------------

    def handle_appended(self, appended):
        """Drop what is in the log now, replicas or a batch as the token tells."""
        token = appended.token
        if appended.era < self.store_era:
            self.handle_append_failed(AppendFailed(token, "lost by the store"))
            return
        if isinstance(token, _kept.KeptRecord):
            self._end_rewrite(token)
        elif isinstance(token, _replicas.ReplicaToken):
            logging.info(
                "%s entries of a missing node appended origin=%s",
                LOG_PREFIX,
                token.origin,
            )
            self._apply_replicas_step(
                _replicas.drop_appended_origin(self.replicas, token)
            )
            self._keep(token.key, token.text)
        else:
            batch = self.ledger.batches[0]
            self._keep(batch.key, batch.text)
            self._apply_ledger_step(_ledger.drop_appended_batch(self.ledger))
            self._report_if_flushed()

    def handle_append_failed(self, failure):
        """Keep what could not be appended, for a later attempt."""
        token = failure.token
        if isinstance(token, _kept.KeptRecord):
            self.kept = _kept.end_rewrite(self.kept, token, False, self.clock())
        elif isinstance(token, _replicas.ReplicaToken):
            self._apply_replicas_step(
                _replicas.record_append_failure(self.replicas, token)
            )
        else:
            self._apply_ledger_step(_ledger.record_append_failure(self.ledger))

    def _report_if_flushed(self):
        if self.closing and not _ledger.count_pending_entries(self.ledger):
            if not self.ledger.batches and not _kept.has_own_lost(self.kept):
                self.send_message("node", AccountsFlushed())

    # Eras ----------------------------------------------------------------------

    def handle_era_changed(self, changed):
        """Append again, one record a flush, what the restored store may have lost."""
        if changed.era <= self.store_era:
            return
        self.store_era = changed.era
        self.kept = _kept.lose_records(self.kept, self.clock())
        if self.kept.lost:
            count = len(self.kept.lost)
            logging.warning(
                "%s records may be lost era=%s count=%s",
                LOG_PREFIX,
                changed.era,
                count,
            )

    def _keep(self, key, text, origin=""):
        """Keep a record for a while that the log has now."""
        if self.store_era and key:
            record = _kept.KeptRecord(key, text, self.clock(), origin)
            self.kept = _kept.keep_record(self.kept, record)

    def _rewrite_next(self):
        step = _kept.rewrite_next(self.kept, self.live_nodes)
        self.kept = step.state
        self.send_messages(step.messages)

    def _end_rewrite(self, record):
        self.kept = _kept.end_rewrite(self.kept, record, True, self.clock())
        logging.info("%s published again key=%s", LOG_PREFIX, record.key)
        self.send_message("telemetry", RecordsRepublished(Topic.ACCOUNTS.value, 1))
        if self.closing:
            self._rewrite_next()
            self._report_if_flushed()

    # Time ------------------------------------------------------------------------

    def handle_tick(self, tick):
        """Time out replication, or flush and append entries of missing origins."""
        if tick.name == "replication":
            self._apply_ledger_step(
                _ledger.time_out_replication(self.ledger, tick.now_s)
            )
            self._update_replication_ticks()
        else:
            self.kept = _kept.expire_records(self.kept, tick.now_s)
            self._rewrite_next()
            self._apply_ledger_step(_ledger.flush(self.ledger))
            self._apply_replicas_step(
                _replicas.append_missing_origins(
                    self.replicas, self.live_nodes, tick.now_s
                )
            )

    def _apply_ledger_step(self, step):
        self.ledger = step.state
        self.send_messages(step.messages)

    def _apply_replicas_step(self, step):
        self.replicas = step.state
        self.send_messages(step.messages)

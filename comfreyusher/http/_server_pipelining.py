"""Requests of one connection side by side, with their responses in order."""

import itertools

from comfreyusher.http._pipelining import (
    WaitingRequest,
    count_message_bytes,
    may_run_beside,
)
from comfreyusher.http._server_bounds import BoundedServerTask
from comfreyusher.messages import RequestStart, ResponseAbort, ResponseStart

# Bounds the work for one slot that becomes free.
OFFERS_AT_A_TIME = 4


class PipeliningServerTask(BoundedServerTask):
    """Runs requests beside the one at the front, and holds their responses."""

    def __init__(self, channel, consumer, poller, limits, **kwargs):
        super().__init__(channel, consumer, poller, limits, **kwargs)
        self.exchange_numbers = itertools.count(1)
        self.closing_connections = False
        self.offering = False

    def _may_run_beside(self, number, state):
        if self.closing_connections or not may_run_beside(state, self.limits):
            return False
        if self.slots.may_take(len(state.waiting)):
            return True
        self.turned_away[number] = None
        return False

    def _offer_slots(self):
        """Let connections that found no slot try again, in order of their attempts."""
        if self.offering:
            return
        self.offering = True
        for number in list(itertools.islice(self.turned_away, OFFERS_AT_A_TIME)):
            self.turned_away.pop(number, None)
            state = self.states.get(number)
            if state is not None:
                self._deliver_events(number, state)
                self.count_connection(number, state)
        self.offering = False

    def _start_beside(self, number, state):
        """Pass on the next pending request, whose response waits for its turn."""
        parsed_head = state.pending_events.popleft()
        state.pending_events.popleft()
        request = WaitingRequest(next(self.exchange_numbers), parsed_head)
        self.number_by_exchange[request.exchange] = number
        state.pending_bytes -= parsed_head.memory_bytes
        state.waiting.append(request)
        state.waiting_bytes += request.held_bytes
        state.close_expected = not parsed_head.keep_alive
        self.slots.used += 1
        start = RequestStart(request.exchange, state.host, parsed_head.head, ended=True)
        self.send_message(self.consumer, start)

    def _hold_message(self, number, state, message):
        """Keep a message of a response until its request is at the front."""
        request = _find_waiting(state, message.exchange)
        request.messages.append(message)
        size_bytes = count_message_bytes(message) - request.held_response_bytes
        request.held_response_bytes = 0
        request.held_bytes += size_bytes
        state.waiting_bytes += size_bytes
        if isinstance(message, ResponseAbort):
            state.close_expected = True
        elif isinstance(message, ResponseStart) and message.close_connection:
            state.close_expected = True
        self.count_connection(number, state)

    def _count_held_response(self, state, held):
        """Count a response to a waiting request that the consumer holds."""
        request = _find_waiting(state, held.exchange)
        size_bytes = held.size_bytes - request.held_response_bytes
        request.held_response_bytes = held.size_bytes
        request.held_bytes += size_bytes
        state.waiting_bytes += size_bytes

    def _advance(self, number, state):
        """Bring waiting requests to the front and write what was held for them.

        A response that ends within this call is followed by the next in the loop, and
        not by a nested call.
        """
        if state.advancing:
            return
        state.advancing = True
        while state.waiting and not state.exchange:
            request = state.waiting.popleft()
            self.slots.used -= 1
            state.waiting_bytes -= request.held_bytes
            state.begin_exchange(request.exchange, request.parsed_head, self.clock())
            state.held_response_bytes = request.held_response_bytes
            for message in request.messages:
                self.message_handlers[type(message)](message)
        state.advancing = False
        self._offer_slots()
        if number in self.states and not state.closing:
            self._deliver_events(number, state)
            self.count_connection(number, state)


def _find_waiting(state, exchange):
    return next(item for item in state.waiting if item.exchange == exchange)

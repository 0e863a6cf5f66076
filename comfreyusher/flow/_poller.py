"""An epoll poller for thousands of connections.

circuits' own ``EPoll`` keeps its descriptors in lists and searches them on
every change, which costs time in proportion to the open connections. This
subclass keeps them in sets and uses ``epoll.modify``.
"""

import select

from circuits.core.pollers import EPoll, _disconnect, _read, _write

SOCKETS_PER_POLL = 64


class Poller(EPoll):
    """``EPoll`` with registration in constant time."""

    channel = "poller"

    def __init__(self):
        super().__init__(channel=self.channel)
        self._poller.unregister(self._ctrl_recv)
        self._map.clear()
        self._readers = set()
        self._writers = set()
        self._masks = {}
        self._readers.add(self._ctrl_recv)
        self._update(self._ctrl_recv, self._ctrl_recv)

    def _generate_events(self, event):
        """Report a bounded number of ready sockets, so that none waits long.

        A burst of callers must not keep a node from answering its peers.
        """
        try:
            ready = self._poller.poll(event.time_left, SOCKETS_PER_POLL)
        except InterruptedError:
            return
        for number, mask in ready:
            self._process(number, mask)

    def addReader(self, source, fd):
        self._targets[fd] = source.channel
        self._readers.add(fd)
        self._update(fd, fd.fileno())

    def addWriter(self, source, fd):
        self._targets[fd] = source.channel
        self._writers.add(fd)
        self._update(fd, fd.fileno())

    def removeReader(self, fd):
        self._readers.discard(fd)
        self._update(fd, fd.fileno())

    def removeWriter(self, fd):
        self._writers.discard(fd)
        self._update(fd, fd.fileno())

    def isReading(self, fd):
        return fd in self._readers

    def isWriting(self, fd):
        return fd in self._writers

    def discard(self, fd):
        self._readers.discard(fd)
        self._writers.discard(fd)
        self._targets.pop(fd, None)
        if fd.fileno() >= 0:
            self._update(fd, fd.fileno())

    def _update(self, fd, number):
        mask = select.EPOLLIN if fd in self._readers else 0
        mask |= select.EPOLLOUT if fd in self._writers else 0
        known = self._masks.get(number, 0)
        if mask == known:
            return
        if not mask:
            self._forget(number)
        elif known:
            self._poller.modify(number, mask)
        else:
            self._poller.register(number, mask)
        if mask:
            self._masks[number] = mask
            self._map[number] = fd

    def _forget(self, number):
        self._masks.pop(number, None)
        self._map.pop(number, None)
        try:
            self._poller.unregister(number)
        except OSError:
            return

    def _process(self, number, event):
        fd = self._map.get(number)
        if fd is None:
            return
        if fd == self._ctrl_recv:
            self._read_ctrl()
            return
        target = self._targets.get(fd)
        if event & self._disconnected_flag and not event & select.EPOLLIN:
            self.fire(_disconnect(fd), target)
            self.discard(fd)
            return
        if event & select.EPOLLIN:
            self.fire(_read(fd), target)
        if event & select.EPOLLOUT:
            self.fire(_write(fd), target)

"""An epoll poller for thousands of connections.

circuits' own ``EPoll`` keeps its file descriptors in lists and searches them on
every change, which takes time in proportion to the open connections. This
subclass keeps them in sets and uses ``epoll.modify``.
"""

import select

from comfreyusher.flow._circuits import EPoll, _disconnect, _read, _write

SOCKETS_PER_POLL = 64


class Poller(EPoll):
    """An ``EPoll`` that adds and removes descriptors in constant time."""

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
        """Fire events for a bounded number of ready sockets.

        The bound keeps a burst of callers from delaying a node's responses to
        its peers.
        """
        try:
            ready = self._poller.poll(event.time_left, SOCKETS_PER_POLL)
        except InterruptedError:
            return
        for fileno, mask in ready:
            self._process(fileno, mask)

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

    def _update(self, fd, fileno):
        mask = select.EPOLLIN if fd in self._readers else 0
        mask |= select.EPOLLOUT if fd in self._writers else 0
        old_mask = self._masks.get(fileno, 0)
        if mask == old_mask:
            return
        if not mask:
            self._unregister(fileno)
        elif old_mask:
            self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
        if mask:
            self._masks[fileno] = mask
            self._map[fileno] = fd

    def _unregister(self, fileno):
        self._masks.pop(fileno, None)
        self._map.pop(fileno, None)
        try:
            self._poller.unregister(fileno)
        except OSError:
            return

    def _process(self, fileno, mask):
        fd = self._map.get(fileno)
        if fd is None:
            return
        if fd == self._ctrl_recv:
            self._read_ctrl()
            return
        target = self._targets.get(fd)
        if mask & self._disconnected_flag and not mask & select.EPOLLIN:
            self.fire(_disconnect(fd), target)
            self.discard(fd)
            return
        if mask & select.EPOLLIN:
            self.fire(_read(fd), target)
        if mask & select.EPOLLOUT:
            self.fire(_write(fd), target)

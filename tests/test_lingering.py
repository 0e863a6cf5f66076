"""Connections that are closed while their peer may still be sending."""

import socket
import types
import unittest

from comfreyusher.flow import StreamTask
from comfreyusher.flow._streams import MAX_LINGERING


class LingeringTests(unittest.TestCase):
    # Guards against peers that send malformed requests one after the other and take
    # all descriptors, since each connection stays open for some seconds.
    def test_the_oldest_connections_go_first(self):
        ignore = types.SimpleNamespace(
            addReader=lambda *_: None,
            removeReader=lambda *_: None,
            removeWriter=lambda *_: None,
            discard=lambda *_: None,
        )
        task = StreamTask("callers", ignore)
        numbers = []
        for _ in range(MAX_LINGERING + 10):
            sock, peer = socket.socketpair()
            self.addCleanup(sock.close)
            self.addCleanup(peer.close)
            connection = task._add(sock, connected=True)
            numbers.append(connection.number)
            task.close_lingering(connection.number)
        self.assertEqual(list(task.connections), numbers[10:])
        task.drop_lingering(task.clock() + 60)
        self.assertEqual((task.connections, task.lingering), ({}, {}))

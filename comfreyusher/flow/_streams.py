"""A task that owns TCP connections, with back-pressure in both directions.

circuits' ``TCPClient`` waits for a connection in a generator that is polled on
every tick, and ``TCPServer`` can neither pause reading nor report when its write
buffer is empty. This task replaces both and uses the same poller.
"""

import errno
import itertools
import socket
import ssl

from comfreyusher.flow._circuits import handler
from comfreyusher.flow._connection import (
    Accepted,
    Closed,
    Connected,
    Connection,
    Drained,
    Received,
    _failed,
)
from comfreyusher.flow._task import Task

READ_SIZE_BYTES = 65536
ACCEPTS_PER_EVENT = 16
LINGER_S = 2.0
# Peers that send malformed requests one after the other must not take all descriptors.
MAX_LINGERING = 256


class StreamTask(Task):
    """Owns TCP sockets; subclasses override the ``on_*`` hooks.

    ``tls_server`` and ``tls_client`` are the SSL contexts of incoming and
    outgoing connections, or ``None`` for plain TCP.
    """

    def __init__(self, channel, poller, tls_server=None, tls_client=None, **kwargs):
        super().__init__(channel, **kwargs)
        self.poller = poller
        self.tls_server = tls_server
        self.tls_client = tls_client
        self.listener = None
        self.connections = {}
        self.numbers = itertools.count(1)
        self.by_socket = {}
        self.lingering = {}

    # Hooks -------------------------------------------------------------

    def on_accepted(self, event):
        """Handle ``Accepted``."""

    def on_connected(self, event):
        """Handle ``Connected``."""

    def on_received(self, event):
        """Handle ``Received``."""

    def on_drained(self, event):
        """Handle ``Drained``."""

    def on_closed(self, event):
        """Handle ``Closed``."""

    # Commands ----------------------------------------------------------

    def listen_on(self, listener):
        """Accept connections from a listening socket."""
        self.listener = listener
        self.poller.addReader(self, listener)

    def stop_listening(self):
        """Close the listening socket and keep open connections."""
        if self.listener is None:
            return
        self.poller.discard(self.listener)
        self.listener.close()
        self.listener = None

    def open_connection(self, host, port):
        """Start connecting and return the number of the connection."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self._add(sock, connected=False)
        error_number = sock.connect_ex((host, port))
        if error_number not in (0, errno.EINPROGRESS):
            self.fire(_failed(sock, errno.errorcode.get(error_number, "error")), self)
        else:
            self.poller.addWriter(self, sock)
        return connection.number

    def write(self, number, data):
        """Send bytes, and buffer those that the kernel does not take yet."""
        connection = self.connections.get(number)
        if connection is None or connection.closing or not data:
            return
        connection.unsent.append(memoryview(data))
        connection.unsent_bytes += len(data)
        if connection.connected:
            self._flush(connection)

    def is_established(self, number):
        """Tell whether the kernel has connected, even if the poller has not seen it."""
        connection = self.connections.get(number)
        if connection is None:
            return False
        try:
            connection.sock.getpeername()
        except OSError:
            return False
        return True

    def unsent_bytes(self, number):
        """Return the number of buffered bytes that the kernel has not taken."""
        connection = self.connections.get(number)
        return connection.unsent_bytes if connection else 0

    def pause_reading(self, number):
        """Stop reading, so that TCP flow control slows the sender down."""
        connection = self.connections.get(number)
        if connection and connection.connected:
            self.poller.removeReader(connection.sock)

    def resume_reading(self, number):
        """Resume reading after ``pause_reading``."""
        connection = self.connections.get(number)
        if connection and connection.connected and not connection.eof_received:
            self.poller.addReader(self, connection.sock)

    def close(self, number):
        """Close the connection once all buffered bytes are sent."""
        connection = self.connections.get(number)
        if connection is None:
            return
        connection.closing = True
        if not connection.unsent or not connection.connected:
            self._drop(connection, "closed")

    def close_lingering(self, number):
        """Send buffered bytes and EOF, then discard what still arrives.

        Closing at once while the peer sends would reset the connection, and the
        peer may then see the reset before it has read the response.
        """
        connection = self.connections.get(number)
        if connection is None or connection.linger_started_s:
            return
        connection.linger_started_s = self.clock()
        self.lingering[number] = connection
        if len(self.lingering) > MAX_LINGERING:
            self._drop(next(iter(self.lingering.values())), "finished")
        self.resume_reading(number)
        if not connection.unsent:
            self._send_eof(connection)

    def drop_lingering(self, now):
        """Drop connections whose lingering close began over ``LINGER_S`` ago."""
        for connection in list(self.lingering.values()):
            if now - connection.linger_started_s > LINGER_S:
                self._drop(connection, "finished")

    def abort(self, number):
        """Reset the connection and discard buffered bytes."""
        connection = self.connections.get(number)
        if connection is None:
            return
        try:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
        self._drop(connection, "aborted")

    # Events of the poller ----------------------------------------------

    @handler("_read")
    def on_readable(self, sock):
        """Accept connections, continue a TLS handshake, or read."""
        if sock is self.listener:
            self._accept()
            return
        connection = self.by_socket.get(sock)
        if connection is None:
            return
        if connection.handshaking:
            self._continue_handshake(connection)
            return
        self._read_from(connection)

    @handler("_write")
    def on_writable(self, sock):
        """Finish a connect, continue a TLS handshake, or send buffered bytes."""
        connection = self.by_socket.get(sock)
        if connection is None:
            return
        if not connection.connected:
            self._finish_connect(connection)
        elif connection.handshaking:
            self._continue_handshake(connection)
        else:
            self._flush(connection)

    @handler("_disconnect", "_failed")
    def on_disconnect(self, sock, reason="disconnected"):
        """Drop a connection that could not be opened or was lost."""
        connection = self.by_socket.get(sock)
        if connection is not None:
            self._drop(connection, reason)

    # Internals -----------------------------------------------------------

    def _accept(self):
        for _ in range(ACCEPTS_PER_EVENT):
            try:
                sock, address = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = self._add(sock, connected=True)
            self._start_tls(connection, self.tls_server, server_side=True)
            self.on_accepted(Accepted(connection.number, address[0]))
            if connection.number in self.connections:
                self.poller.addReader(self, connection.sock)

    def _add(self, sock, connected):
        connection = Connection(sock, next(self.numbers), connected)
        self.connections[connection.number] = connection
        self.by_socket[sock] = connection
        return connection

    def _start_tls(self, connection, context, server_side):
        if context is None:
            return
        del self.by_socket[connection.sock]
        self.poller.discard(connection.sock)
        connection.sock = context.wrap_socket(
            connection.sock,
            server_side=server_side,
            do_handshake_on_connect=False,
            suppress_ragged_eofs=True,
        )
        self.by_socket[connection.sock] = connection
        connection.handshaking = True

    def _continue_handshake(self, connection):
        try:
            connection.sock.do_handshake()
        except ssl.SSLWantReadError:
            self.poller.removeWriter(connection.sock)
            self.poller.addReader(self, connection.sock)
            return
        except ssl.SSLWantWriteError:
            self.poller.addWriter(self, connection.sock)
            return
        except (ssl.SSLError, OSError) as error:
            self._drop(connection, f"TLS handshake failed: {error}")
            return
        connection.handshaking = False
        self.poller.removeWriter(connection.sock)
        self.poller.addReader(self, connection.sock)
        if self.tls_client is not None and connection.sock.server_side is False:
            self.on_connected(Connected(connection.number))
        self._flush(connection)

    def _finish_connect(self, connection):
        error_number = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self._drop(connection, errno.errorcode.get(error_number, "error"))
            return
        connection.connected = True
        self.poller.removeWriter(connection.sock)
        if self.tls_client is not None:
            self._start_tls(connection, self.tls_client, server_side=False)
            self._continue_handshake(connection)
            return
        self.poller.addReader(self, connection.sock)
        self.on_connected(Connected(connection.number))
        if connection.number in self.connections:
            self._flush(connection)

    def _read_from(self, connection):
        while True:
            try:
                data = connection.sock.recv(READ_SIZE_BYTES)
            except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
                return
            except OSError as error:
                self._drop(connection, errno.errorcode.get(error.errno, "error"))
                return
            if connection.linger_started_s:
                if not data:
                    self._drop(connection, "finished")
                return
            if not data:
                connection.eof_received = True
                self.poller.removeReader(connection.sock)
            self.on_received(Received(connection.number, data))
            if not data or connection.number not in self.connections:
                return
            if not self._has_buffered_data(connection):
                return

    def _has_buffered_data(self, connection):
        """Tell whether TLS has decrypted bytes that the poller does not report."""
        pending = getattr(connection.sock, "pending", None)
        return pending is not None and pending() > 0

    def _flush(self, connection):
        if connection.handshaking:
            return
        while connection.unsent:
            chunk = connection.unsent[0]
            try:
                sent = connection.sock.send(chunk)
            except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
                sent = 0
            except OSError as error:
                self._drop(connection, errno.errorcode.get(error.errno, "error"))
                return
            connection.unsent_bytes -= sent
            if sent == len(chunk):
                connection.unsent.popleft()
                continue
            connection.unsent[0] = chunk[sent:]
            self.poller.addWriter(self, connection.sock)
            return
        self.poller.removeWriter(connection.sock)
        if connection.linger_started_s:
            self._send_eof(connection)
            return
        if connection.closing:
            self._drop(connection, "closed")
            return
        self.on_drained(Drained(connection.number))

    def _send_eof(self, connection):
        if connection.eof_received:
            self._drop(connection, "finished")
            return
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._drop(connection, "finished")

    def _drop(self, connection, reason):
        if self.connections.pop(connection.number, None) is None:
            return
        self.by_socket.pop(connection.sock, None)
        self.lingering.pop(connection.number, None)
        self.poller.discard(connection.sock)
        connection.sock.close()
        self.on_closed(Closed(connection.number, connection.connected, reason))

"""A small HTTP/1.1 server and client over loopback, one thread per connection."""

import socket
import threading

from cbor import decode, encode


class Closed(Exception):
    """The connection ended before a complete message came."""


class Reader:
    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def message(self):
        """Returns the first line, the headers and the body of the next message."""
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode().split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(self.buffer) < length:
            self._more()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return lines[0], headers, body

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed
        self.buffer += data


def listen():
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(("127.0.0.1", 0))
    server.listen(512)
    return server


def serve(handle):
    """Serves on a free port; `handle(method, path, body)` returns the status and the body, or
    None to close the connection without an answer. Returns the port."""
    server = listen()

    def connection(sock):
        reader = Reader(sock)
        try:
            while True:
                line, _, body = reader.message()
                method, path, _ = line.split(" ")
                try:
                    request = decode(body) if body else None
                except (ValueError, IndexError):
                    request = None
                answer = handle(method, path, request)
                if answer is None:
                    return
                status, value = answer
                payload = value if isinstance(value, bytes) else encode(value)
                sock.sendall(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(payload)) + payload)
        except (OSError, Closed):
            pass
        finally:
            sock.close()

    def accept():
        while True:
            try:
                sock, _ = server.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=connection, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return server.getsockname()[1]


class Client:
    """One connection to one address; raises OSError or Closed when no answer comes."""

    def __init__(self, port, timeout, connect_timeout=None):
        self.port = port
        self.sock = socket.create_connection(("127.0.0.1", port), connect_timeout or timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)
        self.open = True

    def request(self, method, path, value=None, timeout=5.0):
        body = b"" if value is None else encode(value)
        self.sock.settimeout(timeout)
        try:
            self.sock.sendall(
                (f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n"
                 f"Content-Type: application/cbor\r\nContent-Length: {len(body)}\r\n\r\n").encode()
                + body)
            line, headers, body = self.reader.message()
        except (OSError, Closed):
            self.close()
            raise
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = decode(body) if body else None
        except (ValueError, IndexError):
            value = None
        return int(line.split(" ")[1]), value

    def close(self):
        self.open = False
        self.sock.close()

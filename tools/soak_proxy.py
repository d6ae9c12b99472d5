"""Fault-injecting loopback proxies: between callers and a node, where connections are
delayed, reset or silenced, and between a node and its backend server, where answers are
spoiled."""

import random
import selectors
import socket
import struct
import threading
import time

PIECE = 65536  # bytes
POLL_S = 0.05
SEND_TIMEOUT_S = 0.5  # an end that takes no bytes for so long is disconnected
RESET = struct.pack("ii", 1, 0)  # SO_LINGER that makes close() send a reset


class Proxy:
    """Listens at one address and forwards to another; mode is one of MODES."""

    MODES = ("delay", "reset", "silence", "one_way")

    def __init__(self, listen, target):
        self.target = target
        self.mode = None
        self.delay_s = 0.0
        self.pairs = {}  # socket: the peer socket that it forwards to
        self.inward = set()  # sockets accepted from callers
        self.lock = threading.Lock()
        self.listener = socket.create_server(self.split(listen))
        self.address = listen
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    @staticmethod
    def split(address):
        ip, _, port = address.partition(":")
        return ip, int(port)

    def set(self, mode, delay_s=0.0):
        """Sets the mode, also for open connections. "reset" resets the open connections and
        then forwards normally."""
        with self.lock:
            self.mode, self.delay_s = mode, delay_s
            if mode == "reset":
                for connection in list(self.pairs):
                    self.drop(connection, reset=True)
                self.mode = None

    def drop(self, connection, reset=False):
        for end in (connection, self.pairs.pop(connection, None)):
            if end is None:
                continue
            self.pairs.pop(end, None)
            self.inward.discard(end)
            try:
                self.selector.unregister(end)
                if reset:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            except (KeyError, ValueError, OSError):
                pass  # the socket is closed already
            end.close()

    def accept(self):
        caller, _ = self.listener.accept()
        try:
            target = socket.create_connection(self.split(self.target), timeout=1.0)
        except OSError:
            caller.close()
            return
        for end in (caller, target):
            end.settimeout(SEND_TIMEOUT_S)
        self.pairs[caller], self.pairs[target] = target, caller
        self.inward.add(caller)
        for end in (caller, target):
            self.selector.register(end, selectors.EVENT_READ)

    def forward(self, connection):
        other = self.pairs.get(connection)
        if other is None:
            return
        if self.mode == "silence" or (self.mode == "one_way"
                                      and connection not in self.inward):
            time.sleep(0.005)  # avoids a busy loop: unread bytes keep the socket ready
            return
        try:
            data = connection.recv(PIECE)
            if self.mode == "delay":
                time.sleep(self.delay_s)
            if data:
                self.send(connection, other, data)
        except OSError:
            data = b""
        if not data:
            self.drop(connection)

    def send(self, _connection, other, data):
        other.sendall(data)

    def idle(self):
        """Called between polls."""

    def run(self):
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)
        while not self.stopping:
            for key, _ in self.selector.select(POLL_S):
                with self.lock:
                    if key.fileobj is self.listener:
                        self.accept()
                    else:
                        self.forward(key.fileobj)
            self.idle()
        self.listener.close()
        for connection in list(self.pairs):
            self.drop(connection)

    def close(self):
        self.stopping = True
        self.thread.join(5.0)


class AnswerProxy(Proxy):
    """Forwards whole answers of a backend server, and spoils them according to its mode:
    a second copy that comes late, a body in chunks of one byte, or bytes without end in
    the head, the body or the trailers until the caller disconnects."""

    MODES = ("stutter", "tiny", "endless_head", "endless_body", "endless_trailers")
    COPY_DELAY_MAX_S = 0.1
    FILLER = {"endless_head": b"Filler: x\r\n", "endless_body": b"1\r\nx\r\n",
              "endless_trailers": b"Filler: x\r\n"}
    CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    BEGINNINGS = {"endless_head": b"HTTP/1.1 200 OK\r\n", "endless_body": CHUNKED,
                  "endless_trailers": CHUNKED + b"0\r\n"}

    def __init__(self, listen, target, seed):
        self.random = random.Random(seed)
        self.partial = {}  # socket of a backend server: start of an answer
        self.copies = []  # (time, socket, answer)
        self.endless = {}  # socket of a caller: bytes to repeat
        super().__init__(listen, target)

    @staticmethod
    def answer_split(data):
        """(head, body, rest) of the first answer, or None if it is not whole."""
        head, end, rest = data.partition(b"\r\n\r\n")
        size = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                size = int(value)
        return (head + end, rest[:size], rest[size:]) if end and len(rest) >= size else None

    def send(self, connection, other, data):
        if connection in self.inward:
            other.sendall(data)
            return
        data = self.partial.pop(connection, b"") + data
        while answer := self.answer_split(data):
            data = answer[2]
            if other not in self.endless:
                self.answer_send(other, *answer[:2])
        if data:
            self.partial[connection] = data

    def answer_send(self, caller, head, body):
        mode = self.mode
        if mode in self.FILLER and body:
            caller.sendall(self.BEGINNINGS[mode])
            self.endless[caller] = self.FILLER[mode] * 2000
        elif mode == "tiny" and body:
            lines = [line for line in head.split(b"\r\n")
                     if not line.lower().startswith(b"content-length")]
            lines.insert(1, b"Transfer-Encoding: chunked")
            caller.sendall(b"\r\n".join(lines) + b"".join(
                b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n")
        else:
            caller.sendall(head + body)
            if mode == "stutter" and body:
                delay_s = self.random.uniform(0, self.COPY_DELAY_MAX_S)
                self.copies.append((time.monotonic() + delay_s, caller, head + body))

    def idle(self):
        now = time.monotonic()
        due = [copy for copy in self.copies if copy[0] <= now]
        self.copies = [copy for copy in self.copies if copy[0] > now]
        with self.lock:
            for _, caller, answer in due:
                self.extra_send(caller, answer)
            for caller, filler in list(self.endless.items()):
                self.extra_send(caller, filler)
            if self.endless:
                time.sleep(0.001)

    def extra_send(self, caller, data):
        if caller in self.pairs:
            try:
                caller.sendall(data)
            except OSError:
                self.drop(caller)

    def drop(self, connection, reset=False):
        for end in (connection, self.pairs.get(connection)):
            self.endless.pop(end, None)
            self.partial.pop(end, None)
        super().drop(connection, reset)

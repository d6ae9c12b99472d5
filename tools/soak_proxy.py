"""A fault-injecting loopback proxy between callers and a node, or between a node and the
platform. It delays or resets connections, or stops forwarding in both directions or in
one."""

import selectors
import socket
import struct
import threading
import time

PIECE = 65536  # bytes
POLL_S = 0.05
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
        target.settimeout(None)
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
                other.sendall(data)
        except OSError:
            data = b""
        if not data:
            self.drop(connection)

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
        self.listener.close()
        for connection in list(self.pairs):
            self.drop(connection)

    def close(self):
        self.stopping = True
        self.thread.join(5.0)

"""Reads one metric of many nodes concurrently over persistent connections.

Querying 200 nodes one after another takes longer than the times to be measured, so all
requests are sent before the answers are read.
"""

import re
import selectors
import socket
import time

ROUND_S = 2.0


class MetricPoll:
    """A context manager that keeps one connection to each host."""

    def __init__(self, hosts, metric):
        self.hosts = list(hosts)
        self.pattern = re.compile(rb"^masticpitch_" + metric.encode() + rb" (\S+)$", re.M)
        self.sockets = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for connection in self.sockets.values():
            connection.close()

    def send_request(self, host):
        connection = self.sockets.get(host)
        if connection is None:
            ip, _, port = host.operators.partition(":")
            connection = socket.create_connection((ip, int(port)), timeout=ROUND_S)
            self.sockets[host] = connection
        connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n")
        return connection

    def disconnect(self, host):
        connection = self.sockets.pop(host, None)
        if connection:
            connection.close()

    def values(self):
        """{host: (value, monotonic s at its arrival)}; hosts without an answer are missing."""
        found, buffers = {}, {}
        with selectors.DefaultSelector() as selector:
            for host in self.hosts:
                try:
                    selector.register(self.send_request(host), selectors.EVENT_READ, host)
                    buffers[host] = b""
                except OSError:
                    self.disconnect(host)
            end = time.monotonic() + ROUND_S
            while buffers and time.monotonic() < end:
                for key, _ in selector.select(0.1):
                    host = key.data
                    try:
                        piece = key.fileobj.recv(65536)
                    except OSError:
                        piece = b""
                    buffers[host] += piece
                    if piece and not self.is_complete(buffers[host]):
                        continue
                    selector.unregister(key.fileobj)
                    match = self.pattern.search(buffers.pop(host))
                    if match:
                        found[host] = float(match.group(1)), time.monotonic()
                    if not piece:
                        self.disconnect(host)
        for host in buffers:
            self.disconnect(host)
        return found

    @staticmethod
    def is_complete(answer):
        head, gap, body = answer.partition(b"\r\n\r\n")
        length = re.search(rb"^content-length: (\d+)", head, re.I | re.M)
        return bool(gap and length and len(body) >= int(length.group(1)))

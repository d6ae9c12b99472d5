"""Child processes, polling and HTTP calls of the harness."""

import ctypes
import http.client
import os
import signal
import subprocess
import time

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)
WAIT_S = 20.0


class HarnessError(Exception):
    """A process did not start or a state was not reached in time."""


class Platform429(Exception):
    """The platform refused a call because of its rate limit."""


def on_signal(number, _frame):
    raise SystemExit(128 + number)


def install_signals():
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)


def child_setup():
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.pthread_sigmask(signal.SIG_SETMASK, [])


def http_call(address, method, path, body=None, headers=None, timeout=5.0):
    """One HTTP call to "IP:PORT"; (status, headers, body), or OSError."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except http.client.HTTPException as error:
        raise ConnectionError(str(error)) from error
    finally:
        connection.close()


def wait_for(predicate, what, timeout=WAIT_S, pause=0.02):
    """Waits until predicate() is true and returns its value."""
    end = time.monotonic() + timeout
    while True:
        value = predicate()
        if value:
            return value
        if time.monotonic() > end:
            raise HarnessError(f"not reached within {timeout} s: {what}")
        time.sleep(pause)


class Process:
    """One child process; its output goes to files."""

    def __init__(self, name, argv, log_path, environment=None, output_path=None):
        self.name = name
        self.log_path = log_path
        self.output_path = output_path or log_path
        with open(log_path, "ab") as log, open(self.output_path, "ab") as output:
            self.popen = subprocess.Popen(
                argv, stdin=subprocess.DEVNULL, stdout=output, stderr=log,
                env={**os.environ, **(environment or {})}, preexec_fn=child_setup)

    @property
    def pid(self):
        return self.popen.pid

    def alive(self):
        return self.popen.poll() is None

    def signal(self, number):
        if self.alive():
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self):
        self.signal(signal.SIGTERM)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def wait(self, timeout=WAIT_S):
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            raise HarnessError(f"{self.name} did not end within {timeout} s") from None

    def log(self):
        with open(self.log_path, "rb") as file:
            return file.read().decode(errors="replace")

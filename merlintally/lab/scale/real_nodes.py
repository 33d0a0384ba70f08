"""Processes of a measurement on loopback: clients, real edge nodes and the stand-in behind. All are ended."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from merlintally.lab.scale.backend import HOST, Addresses, Record, Spec, list_page
from merlintally.lab.scale.client import Sent, Task
from merlintally.lab.scale.workload import settings_of

ROOT = Path(__file__).resolve().parents[3]
LEAVE_S = 6.0  # for a process to end when it is told to
SOCKETS = 1024  # descriptors of an edge node


def environment() -> dict[str, str]:
    return {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT)}


def end(process: subprocess.Popen[bytes]) -> None:
    """End a process, politely first."""
    if process.poll() is None:
        process.terminate()
        try:
            process.wait(LEAVE_S)
        except subprocess.TimeoutExpired:
            process.kill()
    process.wait()
    for pipe in (process.stdin, process.stdout):
        if pipe is not None:
            pipe.close()


class Talker:
    """A process that is told and tells in lines of JSON."""

    def __init__(self, process: subprocess.Popen[bytes], first: Spec | Task) -> None:
        assert process.stdin is not None and process.stdout is not None
        self._stdin, self._stdout = process.stdin, process.stdout
        self._tell(msgspec.json.encode(first))

    def _tell(self, line: bytes) -> None:
        self._stdin.write(line + b"\n")
        self._stdin.flush()

    def _hear(self) -> bytes:
        line = self._stdout.readline()
        if not line:
            raise RuntimeError("a process of the measurement ended without a result")
        return line


class Backend(Talker):
    """The running stand-in (backend.py)."""

    def __init__(self, process: subprocess.Popen[bytes], spec: Spec) -> None:
        super().__init__(process, spec)
        self.spec = spec
        self.addresses = msgspec.json.decode(self._hear(), type=Addresses)

    def stop(self) -> Record:
        """End it; gives what it answered."""
        self._stdin.close()
        return msgspec.json.decode(self._hear(), type=Record)


class Client(Talker):
    """A running client (client.py)."""

    def await_ready(self) -> None:
        """Wait until its target answers."""
        self._hear()

    def begin(self) -> None:
        self._tell(b"")

    def result(self) -> list[Sent]:
        """Wait for its end; gives what it sent."""
        return msgspec.json.decode(self._hear(), type=list[Sent])


@contextmanager
def running(module: str) -> Iterator[subprocess.Popen[bytes]]:
    """A process of a module of this package that runs until the block ends."""
    command = [sys.executable, "-m", f"{__package__}.{module}"]
    process = subprocess.Popen(command, env=environment(), stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        yield process
    finally:
        end(process)


@contextmanager
def running_backend(spec: Spec) -> Iterator[Backend]:
    """A stand-in that runs until the block ends."""
    with running("backend") as process:
        yield Backend(process, spec)


@contextmanager
def running_client(task: Task) -> Iterator[Client]:
    """A client that runs until the block ends."""
    with running("client") as process:
        yield Client(process, task)


@dataclass(frozen=True)
class RunningNode:
    """One edge node process."""

    process: subprocess.Popen[bytes]
    port: int

    def processor_s(self) -> float:
        """Processor time that it has used (Linux: from /proc)."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def free_port() -> int:
    with socket.create_server((HOST, 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


def node_configuration(name: str, port: int, backend: Backend, nodes: int) -> dict[str, object]:
    addresses = backend.addresses
    return {
        "name": name,
        "listen": f"{HOST}:{port}",
        "discovery": addresses.discovery,
        "counter": addresses.counter,
        "seed": "1",
        "limits": {"sockets": SOCKETS},
        "known": list_page(backend.spec, addresses.servers),
        "settings": settings_of(nodes, counter=True, notes=False),
    }


@contextmanager
def running_node(
    folder: Path, name: str, backend: Backend, nodes: int, subsets: bool
) -> Iterator[RunningNode]:
    """A real edge node, one of `nodes`, that runs until the block ends; `subsets` of app servers or not."""
    port = free_port()
    configuration, operators = folder / f"{name}.json", folder / f"{name}.toml"
    configuration.write_text(json.dumps(node_configuration(name, port, backend, nodes)))
    operators.write_text(f"[subsets]\nenabled = {str(subsets).lower()}\n")
    command = [sys.executable, "-m", "merlintally", "serve"]
    command += ["--config", str(configuration), "--operators", str(operators)]
    with (folder / f"{name}.log").open("wb") as log:
        process = subprocess.Popen(command, env=environment(), stdout=subprocess.DEVNULL, stderr=log)
        try:
            yield RunningNode(process, port)
        finally:
            end(process)

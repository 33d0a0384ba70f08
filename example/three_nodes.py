"""Runs a cluster of three edge nodes on this machine, with the toy servers that they depend on.

    python example/three_nodes.py

Runs until interrupted and prints a command that takes the machines out one by one. Each node is a machine of
its own; a command run for a machine that is out may restart it (`example/three_nodes.py restart m1`).
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from toy_server import HOST

FOLDER = Path("found/three")
NAMES = ("n0", "n1", "n2")
EXAMPLE = Path(__file__).resolve().parent


def write_files(index: int, name: str) -> None:
    """Write a node's configuration and operators' file."""
    folder = FOLDER / name
    folder.mkdir(parents=True, exist_ok=True)
    config = json.loads((EXAMPLE / "config.json").read_text())
    config |= {"name": name, "listen": f"{HOST}:{7379 + index}", "seed": f"{index + 1:x}"}
    config["settings"] |= {"slotNo": index, "balancers": 3}
    (folder / "config.json").write_text(json.dumps(config))
    seeds = "\n".join(f'{seed_name} = "{HOST}:{7600 + number}"' for number, seed_name in enumerate(NAMES))
    (folder / "operators.toml").write_text(f"""[cluster]
name = "example"
folder = "{folder / "state"}"
listen = "{HOST}:{7600 + index}"
secret = "of the example"
voters = {json.dumps(NAMES)}
warm_s = 1.0
[cluster.seeds]
{seeds}
""")


def run(*args: str) -> subprocess.Popen[bytes]:
    """Start a `merlintally` command."""
    code = "import sys; from merlintally.cli import main; sys.exit(main())"
    return subprocess.Popen([sys.executable, "-c", code, *args])


def start(name: str) -> subprocess.Popen[bytes]:
    """Start a node's process; initialise its folder before the first start."""
    folder = FOLDER / name
    if not (folder / "state" / "agreement.log").exists():
        run("cluster", "init", "--operators", str(folder / "operators.toml")).wait()
    operators = str(folder / "operators.toml")
    process = run("serve", "--config", str(folder / "config.json"), "--operators", operators)
    (folder / "pid").write_text(str(process.pid))
    return process


def restart(machine: str) -> None:
    """Terminate a node's process and wait until the main process of this example has started it again."""
    folder = FOLDER / f"n{machine[1:]}"
    old_pid = (folder / "pid").read_text()
    os.kill(int(old_pid), signal.SIGTERM)
    while (folder / "pid").read_text() == old_pid:
        time.sleep(0.05)


def main() -> int:
    if sys.argv[1:2] == ["restart"]:
        restart(sys.argv[2])
        return 0
    toy_server = subprocess.Popen([sys.executable, str(EXAMPLE / "toy_server.py")])
    for index, name in enumerate(NAMES):
        write_files(index, name)
    nodes = {name: start(name) for name in NAMES}
    try:
        tables = "".join(
            f'[[machine]]\nname = "m{index}"\npool = "edge"\nzone = "a"\nedges = ["{name}"]\n'
            for index, name in enumerate(NAMES)
        )
        (FOLDER / "machines.toml").write_text(tables)
        operators = str(FOLDER / "n0" / "operators.toml")
        while run("work", "machines", "--operators", operators, str(FOLDER / "machines.toml")).wait():
            time.sleep(0.5)
        print(
            "three nodes are up; take them out one by one:\n"
            f"    merlintally work roll --operators {operators} --reason kernel -- "
            "python example/three_nodes.py restart {}",
            flush=True,
        )
        while True:
            for name, process in nodes.items():
                if process.poll() is not None:
                    nodes[name] = start(name)
            time.sleep(0.1)
    except KeyboardInterrupt:
        return 0
    finally:
        for process in (*nodes.values(), toy_server):
            process.terminate()


if __name__ == "__main__":
    sys.exit(main())

"""Three edge nodes of one cluster on this machine, with the toy of all that they talk to.

    python example/three_nodes.py

They stand until interrupted, and print how to take their machines out one by one. Each node is its own
machine: what is run for one while it is out may end and start it again (`example/three_nodes.py restart m1`).
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


def write(at: int, name: str) -> None:
    """A node's configuration and operators' file."""
    place = FOLDER / name
    place.mkdir(parents=True, exist_ok=True)
    config = json.loads((EXAMPLE / "config.json").read_text())
    config |= {"name": name, "listen": f"{HOST}:{7379 + at}", "seed": f"{at + 1:x}"}
    config["settings"] |= {"slotNo": at, "balancers": 3}
    (place / "config.json").write_text(json.dumps(config))
    seeds = "\n".join(f'{other} = "{HOST}:{7600 + number}"' for number, other in enumerate(NAMES))
    (place / "operators.toml").write_text(f"""[cluster]
name = "example"
folder = "{place / "state"}"
listen = "{HOST}:{7600 + at}"
secret = "of the example"
voters = {json.dumps(NAMES)}
warm_s = 1.0
[cluster.seeds]
{seeds}
""")


def run(*args: str) -> subprocess.Popen[bytes]:
    code = "import sys; from merlintally.cli import main; sys.exit(main())"
    return subprocess.Popen([sys.executable, "-c", code, *args])


def start(name: str) -> subprocess.Popen[bytes]:
    place = FOLDER / name
    if not (place / "state" / "agreement.log").exists():
        run("cluster", "init", "--operators", str(place / "operators.toml")).wait()
    operators = str(place / "operators.toml")
    process = run("serve", "--config", str(place / "config.json"), "--operators", operators)
    (place / "pid").write_text(str(process.pid))
    return process


def restart(machine: str) -> None:
    """End a node's process and wait until whoever stands over it has started it again."""
    place = FOLDER / f"n{machine[1:]}"
    before = (place / "pid").read_text()
    os.kill(int(before), signal.SIGTERM)
    while (place / "pid").read_text() == before:
        time.sleep(0.05)


def main() -> int:
    if sys.argv[1:2] == ["restart"]:
        restart(sys.argv[2])
        return 0
    toy = subprocess.Popen([sys.executable, str(EXAMPLE / "toy_server.py")])
    for at, name in enumerate(NAMES):
        write(at, name)
    nodes = {name: start(name) for name in NAMES}
    try:
        rows = "".join(
            f'[[machine]]\nname = "m{at}"\npool = "edge"\nzone = "a"\nedges = ["{name}"]\n'
            for at, name in enumerate(NAMES)
        )
        (FOLDER / "machines.toml").write_text(rows)
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
        for process in (*nodes.values(), toy):
            process.terminate()


if __name__ == "__main__":
    sys.exit(main())

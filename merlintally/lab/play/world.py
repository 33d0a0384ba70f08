"""A day's whole world: the parties, and the network between them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from merlintally.cluster import MAX_UNHEALTHY_SHARE
from merlintally.lab.judge.referee import Referee
from merlintally.lab.model.agenda import Agenda, random_stream
from merlintally.lab.model.counter import Counter
from merlintally.lab.model.days import Day
from merlintally.lab.model.discovery import Discovery
from merlintally.lab.model.record import Record
from merlintally.lab.model.requests import First
from merlintally.lab.model.servers import Server, Stamps
from merlintally.lab.play.front import Front, Node

START = 1_000_000.0  # the world's clock at a day's start, seconds
SAMPLE_S = 0.5  # between looks at what is out at each server


class World:
    """All that is round the edge nodes. Whoever runs the day adds the nodes."""

    def __init__(self, day: Day, seed: int, record: Record, started: float = START) -> None:
        self.day, self.seed, self.started = day, seed, started
        self.agenda = Agenda(started)
        self.referee = Referee(day, started, record)
        self.dice = self.stream("network")
        self.trouble_dice = self.stream("troubles")
        self.stamps = Stamps()
        self.servers: dict[str, Server] = {}
        self.discovery = Discovery(day.discovery, self.agenda, self.stream("discovery"))
        self.counter = Counter(day.counter, self.agenda)
        self.nodes: list[Node] = []
        self.front: Front
        self.cut_zones: set[int] = set()
        self.reset_share, self.spoilt_share = 0.0, 0.0
        self.notes_lost, self.last_server = day.notes.lost, 0
        self.shared: dict[str, dict[str, Any]] = {}  # between the gateways of an oracle
        self.notices: list[str] = []  # troubles that met nothing
        self.left_out: set[str] = set()  # kinds of trouble that can't be had here
        self.came: Callable[[Server], None] | None = None  # told of each new server
        speeds = self.stream("servers")
        for _ in range(day.fleet.servers):
            server = self.new_server(0.0, speeds)
            self.discovery.add_initial(server)

    def stream(self, name: str) -> random.Random:
        return random_stream(self.seed, name)

    @property
    def nobody(self) -> First:
        """A first try for what belongs to none."""
        day = self.day
        customer = self.front.customers[0]
        return First(customer, day.lane[0], 0.0, 0.0, 0.0, "none", self.agenda.now, 0)

    def new_server(self, started: float, dice: random.Random) -> Server:
        """A machine of its own name; zones and cells in turn, so that a cell lies in one zone."""
        number, fleet = self.last_server, self.day.fleet
        self.last_server += 1
        zone = number % fleet.zones
        cell = (number // fleet.zones // fleet.cell_size) * fleet.zones + zone
        server = Server(
            f"s{number}",
            self.day,
            zone,
            cell,
            dice.uniform(*fleet.speeds),
            started,
            self.agenda,
            self.stream(f"server {number}"),
            self.stamps,
        )
        self.servers[server.name] = server
        if self.came is not None:
            self.came(server)
        return server

    def cut(self, zone: int, other: int) -> bool:
        """Whether nothing passes between two zones."""
        return (
            zone != other and bool(self.cut_zones) and ((zone in self.cut_zones) != (other in self.cut_zones))
        )

    def spread(self, sender: Node, note: bytes) -> None:
        """A note goes to every other edge node, late, or is lost on the way."""
        if self.day.notes.copied_s > 0:
            self._copy(sender, note)
            return
        late, dice, counts = self.day.notes.late_s, self.dice, self.referee.counts
        for node in self.nodes:
            if node is sender or not node.alive:
                continue
            counts["note bytes"] += len(note)
            if dice.random() >= self.notes_lost and not self.cut(sender.zone, node.zone):
                self.agenda.after(dice.uniform(*late), node.noted, sender.number, note)

    def _copy(self, sender: Node, note: bytes) -> None:
        """What a node drew reaches the others as sums from holders: after a while, as of one fellow. Nodes
        that can't hear all are told nothing, as `Cluster.sees_all_draws` has it."""
        down = sum(not node.alive for node in self.nodes)
        if self.cut_zones or down > MAX_UNHEALTHY_SHARE * len(self.nodes):
            return
        longest = self.day.notes.copied_s
        for node in self.nodes:
            if node is not sender and node.alive:
                self.agenda.after(self.dice.uniform(0.5, 1.0) * longest, node.copied, note)

    def up_servers(self) -> list[Server]:
        return [one for one in self.servers.values() if one.state == "up"]

    def sample(self) -> None:
        """What is out at each server, for plots."""
        held = {one.name: one.held for one in self.servers.values() if one.held}
        self.referee.out_samples.append((self.agenda.now - self.started, held))
        self.agenda.after(SAMPLE_S, self.sample)

    def open(self) -> None:
        """The day begins: clients come."""
        self.front = Front(self.day, self.seed, self.agenda, self.nodes, self.referee)
        self.front.start()
        self.sample()

    def close(self) -> None:
        """The day is over and all is answered that will be: judge what is left."""
        self.referee.close(self.agenda.now, self.stamps.effects)

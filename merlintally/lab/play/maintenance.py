"""Work on all machines of a day, each a host of an app server and some edge nodes: in the order that the
cluster settles, in list order, or at random. The same machines are restarted, as many at once at the most."""

from __future__ import annotations

from collections.abc import Callable

from merlintally.cluster.work import Budget, FleetView, Machine, Request, Turn, Work, next_turn
from merlintally.lab.model.days import Trouble
from merlintally.lab.model.servers import Server
from merlintally.lab.play.troubles import Kind, restart, retire_for, revive
from merlintally.lab.play.world import World

LEAVE_S, LOOK_S = 1.0, 0.1  # from a server's drain until its process ends; between looks at who is next


class Crew:
    """Who takes machines out: `part` of them at once at the most, each down for `size` seconds."""

    def __init__(self, world: World, trouble: Trouble) -> None:
        self.world, self.down_s = world, trouble.size
        self.servers = {f"m{at}": one for at, one in enumerate(world.servers.values())}
        self.most = max(1, round(trouble.part * len(self.servers)))
        self.out: dict[str, float] = {}  # machine -> when its process was up again; 0: not yet
        self.begun = world.agenda.now

    def edges(self, machine: str) -> list[int]:
        at, count = int(machine[1:]), len(self.servers)
        return [node.number for node in self.world.nodes if node.number % count == at]

    def take_out(self, machine: str) -> None:
        """Drain the server, stop the edge nodes, restart all after the work."""
        world, server = self.world, self.servers[machine]
        self.out[machine] = 0.0
        world.discovery.changed(server, "draining", at_once=True)
        for number in self.edges(machine):
            retire_for(world, world.nodes[number], self.down_s)
        world.agenda.after(LEAVE_S, self._stop, machine, server)

    def _stop(self, machine: str, server: Server) -> None:
        if server.state != "dead":
            server.die()
        self.world.discovery.changed(server, "gone")
        self.world.agenda.after(self.down_s, self._start, machine, server)

    def _start(self, machine: str, server: Server) -> None:
        restart(self.world, server)
        for number in self.edges(machine):
            revive(self.world, self.world.nodes[number])
        self.out[machine] = self.world.agenda.now

    def over(self) -> None:
        self.world.notices.append(f"work on all took {self.world.agenda.now - self.begun:.1f} s")


def by_hand(world: World, trouble: Trouble, names: list[str], crew: Crew) -> None:
    """The next begins as soon as one is up again, in the order given."""

    def look() -> None:
        for name in [name for name, up in crew.out.items() if up]:
            del crew.out[name]
        while names and len(crew.out) < crew.most:
            crew.take_out(names.pop(0))
        if names or crew.out:
            world.agenda.after(LOOK_S, look)
        else:
            crew.over()

    look()


def work_listed(world: World, trouble: Trouble) -> None:
    """Work on all machines in list order, as by hand."""
    crew = Crew(world, trouble)
    by_hand(world, trouble, list(crew.servers), crew)


def work_random(world: World, trouble: Trouble) -> None:
    """Work on all machines in an order of chance, as by hand."""
    crew = Crew(world, trouble)
    names = list(crew.servers)
    world.trouble_dice.shuffle(names)
    by_hand(world, trouble, names, crew)


def work_settled(world: World, trouble: Trouble) -> None:
    """Work on all machines in the order that the nodes settle: within the budget, never two zones, warm
    before the next, never below the traffic of now."""
    crew, day = Crew(world, trouble), world.day
    shares = sum(one.share for one in day.lane)
    work_s = sum(one.share * sum(one.work_s) / 2 for one in day.lane) / shares
    machines = {
        name: Machine(
            name,
            "p",
            f"z{server.zone}",
            tuple(map(str, crew.edges(name))),
            (server.name,),
            day.fleet.cores * server.speed / work_s,
        )
        for name, server in crew.servers.items()
    }
    limit = str(crew.most)
    work = Work(machines=machines)
    work.requests["r"] = Request("r", "crew", "work", tuple(machines), Budget(limit, limit, limit))
    seen = FleetView(rates={"p": day.traffic.submissions_per_s})
    look = settled(world, crew, work, seen)
    look()


def settled(world: World, crew: Crew, work: Work, seen: FleetView) -> Callable[[], None]:
    """The leader's look at who is back and who is next."""
    request = work.requests["r"]

    def look() -> None:
        now = world.agenda.now
        for name, up in list(crew.out.items()):
            if up and now - up >= world.day.rules.warm_s:
                del crew.out[name], work.turns[name]
                request.done.append(name)
        while choice := next_turn(work, seen).machine:
            work.number += 1
            work.turns[choice] = Turn(work.number, choice, "r", "out", 0, 0)
            crew.take_out(choice)
        if len(request.done) < len(work.machines):
            world.agenda.after(LOOK_S, look)
        else:
            crew.over()

    return look


KINDS: dict[str, Kind] = {one.__name__: one for one in (work_listed, work_random, work_settled)}

"""What goes wrong in a day: each kind begins, and ends after its time. A trouble that names what is gone by
then is noted and does nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from merlintally.lab.model.days import Trouble
from merlintally.lab.model.servers import Server
from merlintally.lab.play.world import World

T = TypeVar("T")
Kind = Callable[[World, Trouble], None]
KINDS: dict[str, Kind] = {}


def kind(call: Kind) -> Kind:
    KINDS[call.__name__] = call
    return call


def part_of(world: World, trouble: Trouble, rows: list[T]) -> list[T]:
    """The trouble's part of what there is, drawn by chance; at least one."""
    return world.trouble_dice.sample(rows, max(1, round(trouble.part * len(rows))))


def scaled(world: World, trouble: Trouble, things: list[Any], name: str) -> None:
    """A figure of each of them is `size` times as large, for the trouble's time."""
    for one in things:
        setattr(one, name, getattr(one, name) * trouble.size)

    def over() -> None:
        for one in things:
            setattr(one, name, getattr(one, name) / trouble.size)

    world.agenda.after(trouble.lasts_s, over)


def raised(world: World, trouble: Trouble, things: list[Any], name: str) -> None:
    """A figure of each of them is larger by `size`, for the trouble's time."""
    for one in things:
        setattr(one, name, getattr(one, name) + trouble.size)

    def over() -> None:
        for one in things:
            setattr(one, name, getattr(one, name) - trouble.size)

    world.agenda.after(trouble.lasts_s, over)


def some(world: World, trouble: Trouble) -> list[Server]:
    """The servers that a trouble befalls: those it names, or a part of those that are up; at least one."""
    up = world.up_servers()
    if trouble.names:
        found = [one for one in up if one.name in trouble.names]
        for name in sorted(set(trouble.names) - {one.name for one in found}):
            world.notices.append(f"{trouble.kind}: {name} is not up, or no such server")
        return found
    if not up:
        world.notices.append(f"{trouble.kind}: no server is up")
        return []
    return part_of(world, trouble, up)


def gateways(world: World, trouble: Trouble) -> list[Any]:
    """Simulated edge nodes that are up; real ones take the same calls."""
    up = [one for one in world.nodes if one.alive]
    if not up:
        world.notices.append(f"{trouble.kind}: no edge node is up")
        return []
    return part_of(world, trouble, up)


def restart(world: World, server: Server) -> None:
    """The process of a dead server comes back, cold. One that fell over stays down."""
    if server.state == "dead" and not server.failed_for_good:
        server.start(world.agenda.now)
        world.discovery.changed(server, "on")


def die(world: World, server: Server, back_after: float | None) -> None:
    server.die()
    world.discovery.changed(server, "gone")
    if back_after is not None:
        world.agenda.after(back_after, restart, world, server)


def drain(world: World, server: Server, leaves_after: float) -> None:
    """Discovery says that it drains; some time later it is gone."""
    world.discovery.changed(server, "draining", at_once=True)

    def leave() -> None:
        if server.state != "dead":
            server.die()
        server.failed_for_good = True  # the machine is given back
        world.discovery.changed(server, "gone", at_once=True)

    world.agenda.after(leaves_after, leave)


# App servers.


@kind
def servers_die(world: World, trouble: Trouble) -> None:
    """They die at once and come back cold."""
    for server in some(world, trouble):
        die(world, server, trouble.lasts_s)


@kind
def servers_slow(world: World, trouble: Trouble) -> None:
    """They take `size` times as long."""
    scaled(world, trouble, some(world, trouble), "slow")


@kind
def servers_ageing(world: World, trouble: Trouble) -> None:
    """They slow down step by step, to `size` times, until they are restarted one by one."""
    chosen, steps = some(world, trouble), 10
    for server in chosen:
        for step in range(steps):
            world.agenda.after(trouble.lasts_s * step / steps, _age, server, trouble.size ** (1 / steps))
    for at, server in enumerate(chosen):
        world.agenda.after(trouble.lasts_s * (1 + at / len(chosen)), _renew, world, server)


def _age(server: Server, factor: float) -> None:
    server.slow *= factor


def _renew(world: World, server: Server) -> None:
    server.slow = 1.0
    if server.state == "up":
        die(world, server, 0.5)


@kind
def servers_fail(world: World, trouble: Trouble) -> None:
    """A share `size` of what they do fails, and quickly."""
    chosen = some(world, trouble)
    before = [(one, one.errors) for one in chosen]
    for server in chosen:
        server.errors, server.slow = max(server.errors, min(1.0, trouble.size)), server.slow * 0.2

    def over() -> None:
        for server, errors in before:
            server.errors, server.slow = errors, server.slow / 0.2

    world.agenda.after(trouble.lasts_s, over)


@kind
def servers_silent(world: World, trouble: Trouble) -> None:
    """Nothing comes from them, and new connections never come up."""
    chosen = some(world, trouble)
    for server in chosen:
        server.state = "silent"

    def over() -> None:
        for server in chosen:
            if server.state == "silent":
                server.state = "up"

    world.agenda.after(trouble.lasts_s, over)


@kind
def servers_replaced(world: World, trouble: Trouble) -> None:
    """One after another drains and leaves, and a cold one under a new name stands in for it."""
    chosen = some(world, trouble)
    for at, server in enumerate(chosen):
        world.agenda.after(trouble.lasts_s * at / len(chosen), _replace, world, server)


def _replace(world: World, server: Server) -> None:
    if server.state == "dead":
        return
    fresh = world.new_server(world.agenda.now, world.trouble_dice)
    world.discovery.changed(fresh, "on")
    drain(world, server, world.trouble_dice.uniform(3.0, 6.0))


@kind
def servers_leave(world: World, trouble: Trouble) -> None:
    """The fleet shrinks: they drain and are gone."""
    chosen = some(world, trouble)
    for at, server in enumerate(chosen):
        world.agenda.after(
            trouble.lasts_s * at / len(chosen), drain, world, server, world.trouble_dice.uniform(2.0, 5.0)
        )


@kind
def zone_lost(world: World, trouble: Trouble) -> None:
    """All servers of a zone die, and return cold."""
    for server in world.up_servers():
        if server.zone == trouble.zone:
            die(world, server, trouble.lasts_s)


@kind
def zone_cut(world: World, trouble: Trouble) -> None:
    """Nothing passes between a zone and the others."""
    world.cut_zones.add(trouble.zone)
    world.agenda.after(trouble.lasts_s, world.cut_zones.discard, trouble.zone)


# Edge nodes.


@kind
def gateways_die(world: World, trouble: Trouble) -> None:
    """They are killed at once and start again from nothing after `lasts_s`."""
    for node in gateways(world, trouble):
        kill(world, node, trouble.lasts_s)


def kill(world: World, node: Any, down: float) -> None:
    if node.alive:
        node.kill()
        world.front.died(node.number)
        world.agenda.after(down, revive, world, node)


def revive(world: World, node: Any) -> None:
    if not node.alive:
        node.restart(lambda: world.front.up(node.number))


@kind
def gateways_roll(world: World, trouble: Trouble) -> None:
    """They are restarted one after another within `lasts_s`, as planned: told to stop, and half a second
    after their end started again."""
    chosen = gateways(world, trouble)
    for at, node in enumerate(chosen):
        world.agenda.after(trouble.lasts_s * at / len(chosen), retire, world, node)


def retire(world: World, node: Any) -> None:
    retire_for(world, node, 0.5)


def retire_for(world: World, node: Any, down_s: float) -> None:
    """It is told to stop, and some time after its end started again."""
    if node.alive:
        # the front sees that it leaves some time after it was told
        world.agenda.after(world.trouble_dice.uniform(0.2, 0.4), world.front.leaves, node.number)
        node.retire(lambda: world.agenda.after(down_s, revive, world, node))


@kind
def gateways_hang(world: World, trouble: Trouble) -> None:
    """They stop doing anything, and go on later where they were."""
    for node in gateways(world, trouble):
        node.hang()
        world.agenda.after(trouble.lasts_s, node.resume)


# The counter.


@kind
def counter_slow(world: World, trouble: Trouble) -> None:
    """Calls take `size` times as long."""
    scaled(world, trouble, [world.counter], "slow")


@kind
def counter_silent(world: World, trouble: Trouble) -> None:
    """It answers nothing, and has its numbers when it is back."""
    world.counter.mode = "silent"
    world.agenda.after(trouble.lasts_s, setattr, world.counter, "mode", "well")


@kind
def counter_refusing(world: World, trouble: Trouble) -> None:
    """It turns every call away."""
    world.counter.mode = "refusing"
    world.agenda.after(trouble.lasts_s, setattr, world.counter, "mode", "well")


@kind
def counter_emptied(world: World, trouble: Trouble) -> None:
    """It is silent, and comes back empty."""
    world.counter.mode = "silent"
    world.agenda.after(trouble.lasts_s, _back_empty, world)


def _back_empty(world: World) -> None:
    world.counter.empty()
    world.counter.mode = "well"


@kind
def counter_replaced(world: World, trouble: Trouble) -> None:
    """An empty one takes its place, without a gap."""
    world.counter.empty()


@kind
def counter_split(world: World, trouble: Trouble) -> None:
    """Two halves each believe that they hold the whole: odd edge nodes meet another than even ones."""
    world.counter.split(lambda gateway: gateway % 2)
    world.agenda.after(trouble.lasts_s, world.counter.heal)


# Discovery, notes and the network.


@kind
def discovery_late(world: World, trouble: Trouble) -> None:
    """Lists come `size` seconds later, and so out of order at the end."""
    raised(world, trouble, [world.discovery], "extra_delay_s")


@kind
def discovery_silent(world: World, trouble: Trouble) -> None:
    world.discovery.stop_updates()
    world.agenda.after(trouble.lasts_s, world.discovery.resume_updates)


@kind
def discovery_moved(world: World, trouble: Trouble) -> None:
    """It stands at another address, which a new configuration tells (SIGHUP); the old one ends after
    `lasts_s`. Simulated edge nodes hear the whole list anew."""
    for node in [one for one in world.nodes if one.alive]:
        node.moved(trouble.lasts_s)


@kind
def notes_lost(world: World, trouble: Trouble) -> None:
    """A share `size` of the notes is lost."""
    world.agenda.after(trouble.lasts_s, setattr, world, "notes_lost", world.notes_lost)
    world.notes_lost = min(1.0, trouble.size)


@kind
def connections_reset(world: World, trouble: Trouble) -> None:
    """A part of the connections breaks under its execution, which may go on."""
    world.reset_share = trouble.part
    world.agenda.after(trouble.lasts_s, setattr, world, "reset_share", 0.0)


@kind
def answers_spoilt(world: World, trouble: Trouble) -> None:
    """A part of the answers can't be read: what they answer may have run."""
    world.spoilt_share = trouble.part
    world.agenda.after(trouble.lasts_s, setattr, world, "spoilt_share", 0.0)


@kind
def answers_late(world: World, trouble: Trouble) -> None:
    """A part of the servers answers `size` seconds later, without being busier."""
    raised(world, trouble, some(world, trouble), "extra_time_s")


# Customers.


@kind
def traffic_burst(world: World, trouble: Trouble) -> None:
    """All ask `size` times as much."""
    scaled(world, trouble, [world.front], "factor")


@kind
def plan_burst(world: World, trouble: Trouble) -> None:
    """All customers of a plan ask `size` times as much."""
    world.front.plan_factor[trouble.plan] = trouble.size
    world.agenda.after(trouble.lasts_s, world.front.plan_factor.pop, trouble.plan, None)


@kind
def strangers(world: World, trouble: Trouble) -> None:
    """Customers that are seen once add a share `size` to the traffic."""
    world.front.scan(trouble.size, world.agenda.now + trouble.lasts_s)


@kind
def weights_shift(world: World, trouble: Trouble) -> None:
    """A part of the customers moves to other edge nodes of its set at once."""
    for customer in part_of(world, trouble, world.front.customers):
        world.front.reweigh(customer, world.trouble_dice)


@kind
def clients_leave(world: World, trouble: Trouble) -> None:
    """A part of the tries is left early."""
    world.agenda.after(trouble.lasts_s, setattr, world.front, "impatient", world.front.impatient)
    world.front.impatient = trouble.part

"""The shared counter: parts that serve calls in turn, and all the ways in which it fails. Free of I/O."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Literal

from merlintally.lab.model.agenda import Agenda
from merlintally.lab.model.days import CounterForm

Answer = Callable[[str, float], None]  # outcome ("ok" or "full") and total


class Store:
    """Numbers by name, each forgotten when the life given in its first call is up."""

    def __init__(self) -> None:
        self.totals: dict[int, tuple[float, float]] = {}  # name -> total, forgotten at

    def add(self, now: float, name: int, amount: float, life: float) -> float:
        total, until = self.totals.get(name, (0.0, 0.0))
        if now >= until:
            total, until = 0.0, now + min(life, 60.0)
        total += amount
        self.totals[name] = (total, until)
        return total

    def copy(self) -> Store:
        other = Store()
        other.totals = dict(self.totals)
        return other


class Counter:
    """The counter as all gateways reach it. A call of a gateway on side 1 of a split meets the other half."""

    def __init__(self, form: CounterForm, agenda: Agenda) -> None:
        self.form, self.agenda = form, agenda
        self.halves = [Store()]
        self.side: Callable[[int], int] = lambda gateway: 0
        self.mode: Literal["well", "silent", "refusing"] = "well"
        self.slow, self.calls, self.lost = 1.0, 0, 0
        self.free_at = [[0.0] * form.parts, [0.0] * form.parts]  # by half and part

    def call(self, gateway: int, name: int, amount: float, life: float, answer: Answer) -> None:
        """A call has come; `answer` is called in its turn, or never where the counter is silent."""
        now = self.agenda.now
        self.calls += 1
        if self.mode == "silent":
            self.lost += 1
            return
        if self.mode == "refusing":
            answer("full", 0.0)
            return
        half = self.side(gateway) if len(self.halves) > 1 else 0
        part = zlib.crc32(name.to_bytes(8, "big")) % self.form.parts
        begins = max(now, self.free_at[half][part])
        if begins - now > self.form.line_s:
            answer("full", 0.0)
            return
        self.free_at[half][part] = ends = begins + self.form.parts / self.form.calls_per_s * self.slow
        self.agenda.at(ends, self._serve, self.halves[half], name, amount, life, answer)

    def _serve(self, store: Store, name: int, amount: float, life: float, answer: Answer) -> None:
        if self.mode == "well":  # what waited while it went silent is lost with it
            answer("ok", store.add(self.agenda.now, name, amount, life))

    def empty(self) -> None:
        self.halves = [Store() for _ in self.halves]

    def split(self, side: Callable[[int], int]) -> None:
        """Two halves, each of which believes that it holds the whole."""
        self.halves, self.side = [self.halves[0], self.halves[0].copy()], side

    def heal(self) -> None:
        """The first half goes on; what was added at the other is gone."""
        self.halves = self.halves[:1]

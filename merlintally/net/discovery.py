"""Client of discovery: fetches the list of app servers and watches it for changes, over HTTP/1.1."""

from __future__ import annotations

import json
from random import Random

import anyio
import h11
from anyio.abc import TaskGroup

from merlintally.fields import Malformed
from merlintally.net.backoff import Backoff
from merlintally.net.call_queue import Owner
from merlintally.net.configuration import Address, Bounds, parse_page
from merlintally.net.discovery_connection import DiscoveryConnection, Overloaded
from merlintally.net.log import Log
from merlintally.net.notice import NoticeDeadline

# After a change the node is held to it, whether it has received it or not, by the operators' standing test.
CHANGE_NOTICE_S = 6.0
NO_WAIT_S = 0.001  # the wait of a call that only fetches the changes made so far
MAX_CALLS_OUT = 4  # at a time; a call without an answer is given up when so many later ones have begun


class Call:
    """One call to discovery: for the changes since a version, or for the whole list."""

    def __init__(self, since: int | None, wait_s: float, begun_at: float) -> None:
        self.since, self.wait_s, self.begun_at = since, wait_s, begun_at
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self.pause_s = 0.0  # before the next call, where this one ended before that began

    @property
    def target(self) -> str:
        """The path and query of the request."""
        if self.since is None:
            return "/v1/servers"
        return f"/v1/servers?since={self.since}&timeout_ms={max(1, int(self.wait_s * 1000))}"

    def covers_until(self, now: float) -> float:
        """Return the time before which all changes are in an answer that comes `now`."""
        waited_to_its_end = now >= self.begun_at + self.wait_s
        return self.begun_at + self.wait_s if waited_to_its_end else self.begun_at


class Discovery:
    """Keeps the list of app servers up to date.

    A call that has no answer soon after its wait stays out, on a connection of its own, while the next one
    begins: so there is a watch at discovery at any time, however late it answers. Whichever answer is newer
    than the list is applied. An error ends a call's connection; the next call continues from the version that
    the node has, after a pause that leaves time to hear of changes before they count as known.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        bounds: Bounds,
        dispatcher: Owner,
        random: Random,
        log: Log,
        local: bool = False,
    ) -> None:
        """`version` is that of the list that the node was started with, if any.

        `local` is for an agent on this machine to which lists are pushed. Calls to it are cheap, and the node
        is held at once to what it gets after an outage: its failures don't lengthen the pauses between calls.
        """
        self.address, self.bounds, self.dispatcher, self.log = address, bounds, dispatcher, log
        self.version = version  # of the list that the node has; None if it has to fetch the whole list
        self.failing = self.answered = False  # `answered`: the last call that ended was
        self.first_call_done = anyio.Event()  # set once the first call was answered or has failed
        max_pause_s = bounds.again_s if local else bounds.again_most_s
        self.backoff = Backoff(random, bounds.again_s, max_pause_s, bounds.spared_s, bounds.spared_most_s)
        self.notice = NoticeDeadline(CHANGE_NOTICE_S, bounds.asked_before_s, random, anyio.current_time())
        self._calls: list[Call] = []  # those that are out, the oldest first
        self._idle_connection: DiscoveryConnection | None = None
        self._applying = anyio.Lock()
        self._scope = anyio.CancelScope()

    def set_address(self, address: Address) -> None:
        """Continues at another address with the whole list, since its versions may differ."""
        if address != self.address:
            self.address, self.version, self.answered = address, None, False
            self.backoff.failures, self.backoff.pause_s = 0, 0.0
            self.notice.moved(anyio.current_time())
            self._scope.cancel()

    async def run(self) -> None:
        """Follows the list until cancelled, from the beginning at each address."""
        while True:
            with anyio.CancelScope() as self._scope:
                try:
                    async with anyio.create_task_group() as group:
                        await self._follow(group)
                finally:
                    self._calls.clear()
                    self._keep_idle(None)

    async def _follow(self, group: TaskGroup) -> None:
        """Makes calls one after another, or beside those that have no answer in time."""
        while True:
            call = self._begin_call()
            group.start_soon(self._run_call, call)
            with anyio.move_on_after(self._patience_s(call)):
                await call.ended.wait()
            await self._pause(call.pause_s)

    def _begin_call(self) -> Call:
        now = anyio.current_time()
        call = Call(self.version, self._wait_s(), now)
        self.notice.call_begun(now)
        self._calls.append(call)
        if len(self._calls) > MAX_CALLS_OUT:
            self._log_failure("no answer in time")
            self._calls[0].scope.cancel()
        return call

    def _wait_s(self) -> float:
        """The wait of the next call, in seconds.

        After a failure, changes are asked for at once. Where an earlier call is out, discovery is slow: only
        a watch hears of what changes before the next call.
        """
        if self.version is None:
            return 0.0
        max_wait_s = (CHANGE_NOTICE_S - 2 * self.bounds.asked_before_s) / 2
        return min(self.bounds.watch_s, max_wait_s) if self.answered or self._calls else NO_WAIT_S

    def _patience_s(self, call: Call) -> float:
        """For how long a call is out before another one begins, in seconds.

        It leaves time for one more call, and its answer, before the node must know of a change that this one
        missed. The whole list can't be watched: it is asked for as rarely as a watch is repeated.
        """
        wait_s = self.bounds.watch_s if call.since is None else call.wait_s
        return wait_s + min(self.bounds.answer_s, CHANGE_NOTICE_S - 2 * self.bounds.asked_before_s - wait_s)

    async def _pause(self, wait_s: float) -> None:
        """Pauses for `wait_s` seconds, or less if the next call would come too late for a change."""
        if wait_s:
            pause_s = self.notice.pause(wait_s, anyio.current_time())
            await anyio.sleep(max(pause_s, min(wait_s, self.bounds.again_s)))

    def _log_failure(self, failure: str) -> None:
        if not self.failing:  # once for each outage
            self.log.say(f"discovery: {failure}; the last list remains in use", "discovery.broken")
        self.failing = True

    # One call.

    async def _run_call(self, call: Call) -> None:
        """Makes one call to its end; logs a failure, and sets the pause after it."""
        error = ""
        try:
            with call.scope:
                await self._get_and_apply(call)
        except Overloaded as failure:
            self._log_failure(str(failure))
            self.answered, call.pause_s = False, self.backoff.delay_after_refusal()
        except Malformed as failure:
            self.version, error = None, str(failure)
        except OSError as failure:
            error = str(failure) or "the connection broke"
        except h11.RemoteProtocolError:
            error = "an answer is incomplete or not HTTP"
        if error:
            self._log_failure(error)
            self.answered, call.pause_s = False, self.backoff.delay_after_failure()
        self.first_call_done.set()
        self._calls.remove(call)
        call.ended.set()

    async def _get_and_apply(self, call: Call) -> None:
        connection, self._idle_connection = self._idle_connection or DiscoveryConnection(self.address), None
        try:
            body = await connection.get(call.target)
            async with self._applying:
                if connection.address == self.address:  # otherwise its version is that of another list
                    await self._apply(body, call.since)
        except BaseException:
            connection.close()
            raise
        if connection.address != self.address:  # moved meanwhile
            connection.close()
            return
        self.answered = True
        self.notice.answered(call.covers_until(anyio.current_time()))
        # After an answer the next call follows at once, whatever the pause after the last refusal: the node
        # has to learn of changes in time.
        self.backoff.record_answer()
        if connection.reuse():
            self._keep_idle(connection)
        else:
            connection.close()
            call.pause_s = self.bounds.again_s

    def _keep_idle(self, connection: DiscoveryConnection | None) -> None:
        """Keeps a connection for the next call, instead of the one that was kept before."""
        previous, self._idle_connection = self._idle_connection, connection
        if previous is not None:
            previous.close()

    async def _apply(self, body: bytes, since: int | None) -> None:
        """Applies the answer to a call for the changes since version `since`, or for the whole list (None).

        An answer that is not newer than the list, because that of another call came first, is ignored.
        """
        try:
            index, complete, entries = parse_page(json.loads(body))
        except ValueError:
            raise Malformed("an answer is not JSON") from None
        if not complete and since is None:
            raise Malformed("the whole list was requested, and the answer has changes only")
        if since is not None and index < since:  # would undo changes, such as a drain
            raise Malformed(f"an answer is of version {index}, older than the current version {since}")
        overtaken = since != self.version
        if overtaken and self.version is not None and index <= self.version:
            return
        # Changes to a list that is asked for anew meanwhile count, too, though it stays to be asked for. Set
        # before the wait for the queue, during which `set_address` may reset the version.
        if complete or not overtaken or self.version is not None:
            self.version, self.failing = index, False
        if entries or complete:
            await self.dispatcher.enqueue(self.dispatcher.listed, entries, complete)

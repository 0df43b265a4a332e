"""A database group whose promotions are judged, with faults of whole machines."""

import asyncio
import itertools
import random
from collections.abc import Callable

from soak.judge import Order, PromotionJudge
from standins.line_group import Entry, LineGroup, LineInstance
from wasabipitch.clock import now_s
from wasabipitch.exceptions import PromotionRefused

FOLLOW_INTERVAL_S = 0.02
# An old primary follows the new one this long after it can reach it.
DEMOTION_S = 1.0
# A commit reaches the slower replica after this time.
SECOND_REPLICA_S = (0.001, 0.03)
REPLICATION_RETRY_S = 0.005


class JudgedInstance(LineInstance):
    """An instance that can lose power, stall, or be cut off from its peers."""

    def __init__(self, group: "JudgedGroup", name: str) -> None:
        super().__init__(group, name)
        # Without power or network: nothing is run, received or answered.
        self.is_dark = False
        # Cut off from its peers and from the store, but not from hosts.
        self.is_cut = False
        # While set, statements are received and run later.
        self.hangs = False
        # While set, STATUS and PAUSE are answered BUSY.
        self.is_busy = False
        # Answers leave so long after the end of their statement, at least and most.
        self.answer_delay_s = (0.0, 0.0)
        # Sessions of an earlier life of the instance answer nothing.
        self._life = 0

    @property
    def reaches_peers(self) -> bool:
        """Whether the instance runs and exchanges commits with its peers."""
        return self.is_running and not self.is_dark and not self.is_cut

    def holds(self, entry: Entry) -> bool:
        """Return whether the log holds a commit."""
        return self.log[entry.number - 1 : entry.number] == [entry]

    async def start(self) -> None:
        """Start with the log of before, as a replica if another one was promoted."""
        if not self.is_running:
            self._follow_newer()
        await super().start()

    async def stop(self) -> None:
        """Crash: reset every connection."""
        self._life += 1
        await super().stop()

    def go_dark(self) -> None:
        """Lose power: all connections hang."""
        self._life += 1
        self.is_dark = self.silent = True

    def wake(self) -> None:
        """Come back from the dark with the log; earlier connections are reset."""
        if not self.is_dark:
            return
        for writer in list(self._writers):
            writer.transport.abort()
        self.is_dark = self.silent = False
        self._follow_newer()

    def receive(self, entry: Entry) -> bool:
        """Append a commit from the primary, which the fence has let through."""
        self.log.append(entry)
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._apply, len(self.log))
        return True

    def _follow_newer(self) -> None:
        self.fenced_term = 0
        if self.is_primary and self.term < self.group.newest_term:
            self.is_primary = False

    async def _serve(self, reader, writer) -> None:
        if self.is_dark:
            try:
                await self._wait_while_silent()
            finally:
                writer.transport.abort()
            return
        await super()._serve(reader, writer)

    async def _answer(self, session, request: str, text: str) -> str | None:
        await self._check_life(self._life)
        life = self._life
        while self.hangs:
            await asyncio.sleep(REPLICATION_RETRY_S)
        await self._check_life(life)
        answer = await super()._answer(session, request, text)
        await self._check_life(life)
        return answer

    async def _check_life(self, life: int) -> None:
        while self.is_dark:
            await self._wait_while_silent()
            life = -1
        if life != self._life:
            raise ConnectionResetError

    async def _commit(self, request: str, writes: list) -> None:
        life, term = self._life, self.term
        entry = Entry(term, self.log_end[1] + 1, tuple(writes), request)
        self.log.append(entry)
        while not self.group.replicate(self, entry):
            await asyncio.sleep(REPLICATION_RETRY_S)
            await self._check_life(life)
            if not self.is_primary or self.term != term:
                raise ConnectionResetError
        self.applied = len(self.log)
        self.group.judge.record_acknowledged(entry, now_s(), self.name)

    async def _compose(self, session, request: str, answer: str | None) -> str:
        # The position is that of the moment at which the statement ended.
        life = self._life
        message = f"{answer}READY {session.state} {self.position}\r\n"
        if request != "-" and any(self.answer_delay_s):
            await asyncio.sleep(self.group.rng.uniform(*self.answer_delay_s))
        await self._wait_while_silent()
        await self._check_life(life)
        return message

    async def _do_status(self, session, request, rest, text) -> str:
        if self.is_busy:
            return self._fail(session, "BUSY")
        return await super()._do_status(session, request, rest, text)

    async def _do_pause(self, session, request, rest, text) -> str:
        if self.is_busy:
            return self._fail(session, "BUSY")
        return await super()._do_pause(session, request, rest, text)


class JudgedGroup(LineGroup):
    """A group of three instances whose promotions are judged.

    Args:
        name: The name of the group, with which the instances' names begin.
        rng: The source of the order and delays of replication and of late answers.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        super().__init__(name, 1)
        self.rng = rng
        self.judge = PromotionJudge(name)
        self.newest_term = 1
        self.promotion_delay_s = 0.3
        # The replica that was the first to receive the latest commit.
        self._confirmer: JudgedInstance | None = None
        # Called when an instance changes its role.
        self.on_change: Callable[[], None] = lambda: None
        self._numbers = itertools.count()
        self._replaced_since_s: dict[str, float] = {}
        self.instances = {}
        for _ in range(3):
            self.add()
        next(iter(self.instances.values())).is_primary = True

    def add(self) -> JudgedInstance:
        """Add an instance under a new name."""
        instance = JudgedInstance(self, f"{self.name}-{next(self._numbers)}")
        self.instances[instance.name] = instance
        return instance

    def find_confirmer(self) -> JudgedInstance:
        """Return the replica that confirmed last, or else one that may confirm."""
        replicas = [i for i in self.instances.values() if i is not self.primary]
        replicas.sort(key=lambda i: (i.replication_blocked, i is not self._confirmer))
        return replicas[0]

    def replicate(self, primary: JudgedInstance, entry: Entry) -> bool:
        """Send a commit to the replicas and return whether any of them has it."""
        if not primary.reaches_peers:
            return False
        replicas = [i for i in self.instances.values() if i is not primary]
        self.rng.shuffle(replicas)
        loop = asyncio.get_running_loop()
        confirmed = False
        for replica in replicas:
            if confirmed:
                delay_s = self.rng.uniform(*SECOND_REPLICA_S)
                loop.call_later(delay_s, self._send_missing, primary, replica)
                continue
            self._send_missing(primary, replica)
            if replica.reaches_peers and replica.holds(entry):
                confirmed, self._confirmer = True, replica
        return confirmed

    async def promote(self, group: str, instance: str, holder: str, fence: int) -> None:
        """Take an order to promote, which takes effect after the promotion delay.

        Raises:
            PromotionRefused: The instance is unknown or stopped.
        """
        order = Order(instance, holder, fence, now_s())
        self.promotions.append((instance, holder, fence))
        self.judge.record_order(order)
        chosen = self.instances.get(instance)
        if chosen is None or not chosen.is_running or chosen.is_dark:
            raise PromotionRefused(f"instance {instance} is not running")
        loop = asyncio.get_running_loop()
        loop.call_later(self.promotion_delay_s, self._lead, chosen, order)

    def _lead(self, chosen: JudgedInstance, order: Order) -> None:
        is_gone = self.instances.get(chosen.name) is not chosen
        if is_gone or not chosen.is_running or chosen.is_dark:
            return
        if chosen.is_primary and chosen.term == self.newest_term:
            return
        self.newest_term += 1
        chosen.is_primary, chosen.term = True, self.newest_term
        chosen.fenced_term, chosen.applied = 0, len(chosen.log)
        logs = {name: i.log for name, i in self.instances.items()}
        self.judge.record_promotion(order, chosen.term, now_s(), chosen.log, logs)
        self.on_change()

    async def follow(self) -> None:
        """Let replicas and replaced primaries follow the primary until cancelled."""
        while True:
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            primary = self.primary
            if not primary.is_primary or not primary.reaches_peers:
                self._replaced_since_s.clear()
                continue
            for instance in self.instances.values():
                if instance.is_primary and instance is not primary:
                    self._demote(instance)
                self._send_missing(primary, instance)

    def _demote(self, old: JudgedInstance) -> None:
        if not old.reaches_peers:
            self._replaced_since_s.pop(old.name, None)
            return
        since_s = self._replaced_since_s.setdefault(old.name, now_s())
        if now_s() - since_s >= DEMOTION_S:
            del self._replaced_since_s[old.name]
            old.is_primary = False
            self.on_change()

    def _send_missing(self, primary: JudgedInstance, replica: JudgedInstance) -> None:
        if replica.is_primary or not primary.is_primary or replica.term > primary.term:
            return
        if not primary.reaches_peers or not replica.reaches_peers:
            return
        if replica.replication_blocked or replica.fenced_term > primary.term:
            return
        # Two logs with the same commit at a position are the same up to there.
        common = min(len(primary.log), len(replica.log))
        while common and primary.log[common - 1] is not replica.log[common - 1]:
            common -= 1
        del replica.log[common:]
        replica.applied = min(replica.applied, common)
        replica.term = primary.term
        for entry in primary.log[common:]:
            replica.receive(entry)

"""Makes a group's other instances follow a newly established primary."""

import asyncio
import contextlib

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import GroupRecord, InstanceEntry
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.group.instance_control import InstanceControl
from wasabipitch.group.state import GroupState
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.quorum import COMMAND_LEASE_S
from wasabipitch.wire.codecs import InstanceCodec

# An instance that stays unreachable for longer is missed by its group anyway: its
# registration has lapsed, and it restarts without a fence.
REPAIR_S = 12.0
REPAIR_INTERVAL_S = 1.0


class FollowerRepair:
    """Ends the fences of replicas, and the lead of a replaced primary.

    A replacement may find some instances unreachable. The group doesn't wait for them:
    they are repaired beside its work, once they can be reached.

    Args:
        state: The state of the group.
        codec: Encodes the commands to instances.
        mirror: The local copy of the store.
        decisions: The log of decisions.
    """

    def __init__(
        self,
        state: GroupState,
        codec: InstanceCodec,
        mirror: StoreMirror,
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._codec = codec
        self._mirror = mirror
        self._decisions = decisions

    async def run(self, record: GroupRecord) -> None:
        """Repair the instances, until all are or another replacement begins.

        Args:
            record: The record that established the primary.
        """
        until_s = now_s() + REPAIR_S
        repaired = {record.primary}
        with contextlib.closing(InstanceControl(self._codec)) as control:
            while now_s() < until_s:
                # Ending the fence of a later replacement would let its old primary
                # acknowledge commits that its successor lacks.
                if not await self._mirror.check(shared=False):
                    await asyncio.sleep(REPAIR_INTERVAL_S)
                    continue
                if not record.names_same_primary(self._state.record):
                    return
                if not self._mirror.is_current(self._state.record_revision):
                    # The store was restored; the record is not written again yet.
                    await asyncio.sleep(REPAIR_INTERVAL_S)
                    continue
                entries = self._state.entries.values()
                left = [entry for entry in entries if entry.name not in repaired]
                if not left:
                    return
                results = await asyncio.gather(
                    *(self._repair(control, entry, record) for entry in left)
                )
                repaired |= {
                    entry.name
                    for entry, done in zip(left, results, strict=True)
                    if done
                }
                await asyncio.sleep(REPAIR_INTERVAL_S)

    async def _repair(
        self, control: InstanceControl, entry: InstanceEntry, record: GroupRecord
    ) -> bool:
        """Repair an instance; return whether it needs no other attempt."""
        term = record.term
        report = await control.status(entry)
        # The process may have been suspended since it read the store.
        recent = self._mirror.is_confirmed_within(COMMAND_LEASE_S)
        if report is None or not recent:
            return False
        if not record.names_same_primary(self._state.record):
            return False
        if report.is_primary:
            report = await control.step_down(entry, term)
        elif report.fenced_term > 0:
            report = await control.resume(entry)
        else:
            return True
        if report is None:
            return False
        self._decisions.belief(
            "instance follows", group=self._state.name, instance=entry.name, term=term
        )
        return True

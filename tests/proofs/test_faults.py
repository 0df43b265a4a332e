"""Checks the guarantees while processes are killed, suspended or disconnected."""

from proofs import faults
from tests.proofs.fleet_case import FleetCase


class PrimaryFaults(FleetCase):
    async def test_killed_twice(self):
        await self.prove(faults.kill_primary, faults.kill_primary)

    async def test_killed_with_lagging_replicas(self):
        await self.prove(
            faults.kill_primary, target_flags={"lag_ms": 100}, seed=20261205
        )

    async def test_paused_past_its_lease(self):
        await self.prove(faults.pause_primary)

    async def test_cut_off_from_the_pools(self):
        await self.prove(faults.cut_primary_from_pools)

    async def test_cut_off_from_the_owner_only(self):
        await self.prove(faults.cut_primary_from_owner)

    async def test_cut_off_from_its_replicas(self):
        await self.prove(faults.cut_primary_from_group)


class ProcessFaults(FleetCase):
    async def test_owner_and_entry_killed(self):
        await self.prove(faults.kill_owner, faults.kill_entry)

    async def test_owner_paused_and_woken(self):
        await self.prove(faults.pause_owner)

    async def test_entry_cut_off_from_the_owner(self):
        await self.prove(faults.cut_entry_from_owner)

    async def test_two_owners_at_once_and_a_lost_primary(self):
        await self.prove(
            faults.combine_faults(faults.partition_pools, faults.kill_primary)
        )


class PlatformFaults(FleetCase):
    async def test_down_slow_and_losing_answers(self):
        await self.prove(
            faults.stop_platform_answering,
            faults.slow_platform,
            faults.lose_platform_answers,
        )

    async def test_down_or_losing_answers_while_the_primary_is_lost(self):
        await self.prove(
            faults.combine_faults(faults.stop_platform_answering, faults.kill_primary),
            faults.combine_faults(faults.lose_platform_answers, faults.kill_primary),
        )


class FaultsTogether(FleetCase):
    async def test_primary_and_owner_killed(self):
        await self.prove(faults.combine_faults(faults.kill_primary, faults.kill_owner))

    async def test_primary_killed_while_the_owner_is_paused(self):
        await self.prove(faults.combine_faults(faults.pause_owner, faults.kill_primary))

    async def test_primary_paused_entry_killed_platform_down(self):
        await self.prove(
            faults.combine_faults(
                faults.pause_primary, faults.kill_entry, faults.stop_platform_answering
            )
        )

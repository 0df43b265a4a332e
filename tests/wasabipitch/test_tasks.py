import asyncio
import unittest
from unittest.mock import patch

from wasabipitch import tasks


class TasksTest(unittest.IsolatedAsyncioTestCase):
    async def test_supervised_work_restarts_after_an_exception(self):
        self.enterContext(patch("wasabipitch.tasks.RESTART_DELAY_S", 0.0))
        rounds = []

        async def work():
            rounds.append(len(rounds))
            if len(rounds) < 3:
                raise AttributeError("broken")
            await asyncio.Event().wait()

        with self.assertLogs("wasabipitch.tasks", "ERROR") as logs:
            task = tasks.spawn_supervised(work, "work")
            while len(rounds) < 3:
                await asyncio.sleep(0)
        self.assertEqual(len(logs.records), 2)
        await tasks.cancel(task)
        self.assertTrue(task.cancelled())

    async def test_an_error_that_ends_a_task_is_logged(self):
        async def work():
            raise ValueError("broken")

        with self.assertLogs("wasabipitch.tasks", "ERROR"):
            await asyncio.wait([tasks.spawn(work(), "work")])


class RaceTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_second_attempt_answers_while_the_first_hangs(self):
        cancelled = []

        async def hang():
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.append(True)

        async def succeed():
            return "second"

        result = await tasks.race([hang, succeed], 0.01, KeyError)
        self.assertEqual(result, "second")
        await asyncio.sleep(0)
        self.assertEqual(cancelled, [True])

    async def test_the_first_failure_counts_if_all_attempts_fail(self):
        failures = iter([KeyError("first"), KeyError("second")])

        async def fail():
            raise next(failures)

        with self.assertRaisesRegex(KeyError, "first"):
            await tasks.race([fail, fail], 60.0, KeyError)

    async def test_another_exception_ends_the_race(self):
        async def fail():
            raise ValueError

        async def succeed():
            return "second"

        with self.assertRaises(ValueError):
            await tasks.race([fail, succeed], 60.0, KeyError)

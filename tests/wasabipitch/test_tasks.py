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

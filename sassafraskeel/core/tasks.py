"""Task groups that report every failure of their tasks."""

from collections.abc import Callable

import curio

from sassafraskeel.core.clock import Clock

RESTART_SECONDS = 0.5
# The state of a curio task that runs as soon as the tasks before it have blocked.
READY_STATE = "READY"


class ReleasingTask(curio.Task):
    """A task that frees what it held as soon as it is over.

    curio keeps an exception in the frame that raises it, and the result of the last
    trap and a cancellation in the task. These are reference cycles, and all that they
    refer to, such as the body of a request, would stay until the garbage collector has
    looked at all objects.
    """

    def send(self, value):
        self._trap_result = None
        if not isinstance(value, BaseException):
            return self._send(value)
        try:
            return self._throw(value)
        finally:
            # An exception that ends the task has this frame in its traceback.
            del value

    @property
    def exception(self):
        return super().exception

    @exception.setter
    def exception(self, value):
        if isinstance(value, curio.CancelledError):
            value = value.with_traceback(None)
        curio.Task.exception.fset(self, value)


def is_blocked(task: curio.Task) -> bool:
    """Return whether a task waits for something.

    One that is about to run would be cancelled at its next blocking operation, whatever
    it does there.
    """
    return task.state != READY_STATE


def run_kernel(function, *args, activations=()):
    """Run a coroutine function whose tasks free what they held; return its result."""
    return curio.run(
        function, *args, activations=list(activations), taskcls=ReleasingTask
    )


async def run_until_first(*functions):
    """Run coroutine functions until one of them is over, and return that one.

    The others are cancelled. Raises the exception of the first one.
    """
    async with curio.TaskGroup(wait=any) as group:
        tasks = {await group.spawn(function): function for function in functions}
    if group.completed.exception is not None:
        raise group.completed.exception
    return tasks[group.completed]


class SupervisedTaskGroup:
    """A group of tasks that reports every failure.

    curio's TaskGroup cancels the remaining tasks when one fails and does not report
    the error. This group passes each failure to `on_failure` immediately or, without
    that function, raises an ExceptionGroup from `join`, so that no failure is lost.
    """

    def __init__(self, on_failure: Callable[[Exception], None] | None = None):
        self._tasks: set[curio.Task] = set()
        self._failures: list[Exception] = []
        self._on_failure = on_failure
        self._closed = False

    def __len__(self):
        return len(self._tasks)

    async def spawn(self, function, *args) -> curio.Task:
        """Start `function(*args)` as a task of the group."""
        task = await curio.spawn(self._run, function, args, daemon=True)
        if not task.terminated:
            self._tasks.add(task)
        return task

    async def spawn_service(self, clock: Clock, function, *args) -> curio.Task:
        """Start a task that runs for as long as the group does.

        After a failure, the function is started again, so that one unexpected error
        does not end what it does for good.
        """
        return await self.spawn(self._run_service, clock, function, args)

    async def _run_service(self, clock: Clock, function, args) -> None:
        while True:
            try:
                return await function(*args)
            except Exception as exc:
                if self._on_failure is None:
                    raise
                self._on_failure(exc)
                await clock.sleep(RESTART_SECONDS)

    async def _run(self, function, args):
        try:
            return await function(*args)
        except Exception as exc:
            if self._on_failure is not None:
                self._on_failure(exc)
            else:
                self._failures.append(exc)
        finally:
            self._tasks.discard(await curio.current_task())

    async def join(self) -> None:
        """Wait for all tasks; raise an ExceptionGroup if any failed."""
        while self._tasks:
            await next(iter(self._tasks)).wait()
        self._raise_failures()

    async def close(self) -> None:
        """Cancel all tasks and wait for them; closing twice is harmless."""
        while self._tasks:
            for task in list(self._tasks):
                await task.cancel()
                self._tasks.discard(task)

    def _raise_failures(self):
        failures, self._failures = self._failures, []
        if failures:
            raise ExceptionGroup("tasks failed", failures)

    async def __aenter__(self):
        return self

    async def __aexit__(self, exc_type, exc, traceback):
        if exc_type is None:
            await self.join()
        else:
            await self.close()

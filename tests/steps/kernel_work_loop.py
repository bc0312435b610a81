"""Steps for the work loop."""

import threading

import behave

from eelgrassknot.kernel import work_loop

LIMIT_S = 60.0
NEVER_MS = 3_600_000.0


class _Work:
    def __init__(self, count, fail_first=False):
        self.left = count
        self.calls = 0
        self.fail_first = fail_first
        self.done = threading.Event()

    def step(self):
        self.calls += 1
        if self.fail_first and self.calls == 1:
            raise RuntimeError('the first call fails')
        self.left -= 1
        if not self.left:
            self.done.set()
        return self.left > 0


def _start(context, work):
    context.work = work
    context.loop = work_loop.WorkLoop('test', 1.0, NEVER_MS, work.step)
    context.add_cleanup(context.loop.stop)
    context.loop.start()


@behave.given('a work loop whose work takes {count:d} calls')
def given_work(context, count):
    _start(context, _Work(count))


@behave.given('a work loop whose first call fails')
def given_failing(context):
    _start(context, _Work(1, fail_first=True))


@behave.when('work is added to the loop')
def add(context):
    context.loop.wake()


@behave.then('the loop makes {count:d} calls and then none')
def called(context, count):
    assert context.work.done.wait(LIMIT_S)
    context.loop.stop()
    assert context.work.calls == count


@behave.then('the loop makes another call')
def called_again(context):
    assert context.work.done.wait(LIMIT_S)

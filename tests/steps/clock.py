"""Steps for the clocks."""

import behave

from eelgrassknot import clock as clocks


@behave.given('a manual clock')
def given_clock(context):
    context.clock = clocks.ManualClock()


@behave.when('it is advanced by {by_ms:d} ms')
def advance(context, by_ms):
    context.clock.advance_ms(by_ms)


@behave.then('it shows {time_ms:d} ms')
def shows(context, time_ms):
    assert context.clock.now_ms() == time_ms


@behave.then('moving it back by {by_ms:d} ms raises an error')
def refused(context, by_ms):
    try:
        context.clock.advance_ms(-by_ms)
    except ValueError:
        return
    raise AssertionError('the clock moved back')

"""Steps for the table of surviving parts."""

import behave

from eelgrassknot.policy import surviving_parts


@behave.given(
    'a table in which the part "{first}" and then the part "{second}" survived'
)
def given_table(context, first, second):
    context.table_of_parts = surviving_parts.SurvivingParts()
    context.table_of_parts.record([first], 1.0)
    context.table_of_parts.record([second], 2.0)


@behave.when(
    '{prompts:d} prompts with {count:d} new parts each survive, '
    'and "{known}" with each'
)
def prompts_survive(context, prompts, count, known):
    for prompt in range(prompts):
        parts = [f'{prompt}-{number}' for number in range(count)]
        context.table_of_parts.record([known, *parts], 3.0 + prompt)


@behave.when(
    'a prompt with {count:d} new parts survives, and "{known}" with it'
)
def prompt_survives(context, count, known):
    parts = [f'new-{number}' for number in range(count)]
    context.table_of_parts.record([*parts, known], 3.0)


@behave.when('the survivals before that of "{known}" expire')
def survivals_expire(context, known):
    table = context.table_of_parts
    table.expire(table.last_ms(known))


@behave.then('the table has no more than {count:d} parts')
def table_bounded(context, count):
    found = len(context.table_of_parts.times_ms)
    assert found <= count, found


@behave.then('the part "{part}" is known')
def part_known(context, part):
    assert context.table_of_parts.last_ms(part) is not None


@behave.then('the part "{known}" is known and the part "{unknown}" is not')
def parts_known(context, known, unknown):
    part_known(context, known)
    assert context.table_of_parts.last_ms(unknown) is None

"""Steps for the start order of daemon parts."""

import re

import behave

from eelgrassknot import exceptions
from eelgrassknot.kernel import parts


@behave.given('the parts {listing}')
def given_parts(context, listing):
    context.entries = {}
    for item in re.findall(r'"([^"]+)"', listing):
        name, _, after = item.partition(' after ')
        needs = tuple(after.split())
        context.entries[name] = parts.PartEntry(name, parts.Part, needs)


@behave.then('the start order is "{names}"')
def start_order_is(context, names):
    order = [entry.name for entry in parts.start_order(context.entries)]
    assert order == names.split(), order


@behave.then('ordering them fails with the remedy "{remedy}"')
def ordering_fails(context, remedy):
    try:
        parts.start_order(context.entries)
    except exceptions.PluginError as error:
        assert error.remedy == remedy, error
        return
    raise AssertionError('the cycle was accepted')

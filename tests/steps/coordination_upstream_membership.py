"""Steps for the membership of upstreams."""

import behave

from eelgrassknot.coordination import upstream_membership as upstreams
from eelgrassknot import states
from eelgrassknot.storage import base

LIVE = states.UpstreamState.LIVE
LEAVING = states.UpstreamState.LEAVING


def read_list(context, upstream, port=1, state=LIVE):
    entry = base.VmEntry(
        upstream, '127.0.0.1', port, 'z', 'r', states.VmKind.ENGINE, state
    )
    context.membership.handle(upstreams.ListRead((entry,)))


def state_of(context, upstream):
    found = {
        info.upstream: info.state for info in context.membership.upstreams()
    }
    return found[upstream]


@behave.given('an upstream "{upstream}" that is listed as live')
def given_listed(context, upstream):
    context.membership = upstreams.UpstreamMembership()
    read_list(context, upstream)
    assert state_of(context, upstream) is LIVE


@behave.when('the engine or a peer reports that "{upstream}" is leaving')
@behave.when(
    'a delayed message reports that the earlier "{upstream}" is leaving'
)
def says_leaving(context, upstream):
    heard = upstreams.LeavingReported(upstream, '127.0.0.1:1')
    context.membership.handle(heard)


@behave.when('the platform\'s list reports that "{upstream}" is leaving')
def list_says_leaving(context, upstream):
    read_list(context, upstream, state=LEAVING)


@behave.when('the list still shows "{upstream}" as live')
def list_says_live(context, upstream):
    read_list(context, upstream)


@behave.when('"{upstream}" is listed with another address')
def listed_elsewhere(context, upstream):
    read_list(context, upstream, port=2)


@behave.when('"{upstream}" cannot be reached')
def unreachable(context, upstream):
    context.membership.handle(upstreams.ReachabilityChanged(upstream, False))


@behave.when('"{upstream}" can be reached again')
def reachable(context, upstream):
    context.membership.handle(upstreams.ReachabilityChanged(upstream, True))


@behave.when('the text withholds "{upstream}"')
def withheld(context, upstream):
    context.membership.handle(upstreams.WithheldUpdated(frozenset([upstream])))


@behave.when('the text withholds nothing')
def nothing_withheld(context):
    context.membership.handle(upstreams.WithheldUpdated(frozenset()))


@behave.then('"{upstream}" is leaving')
def is_leaving(context, upstream):
    assert state_of(context, upstream) is LEAVING


@behave.then('"{upstream}" is live')
def is_live(context, upstream):
    assert state_of(context, upstream) is LIVE

"""Steps for VMs that keep to what their servers say in their answers."""

import json

import behave

IN_FLIGHT_S = 0.5


@behave.given(
    'one server of each service says in its answers that it is leaving'
)
def one_says_leaving(context):
    context.leaving = (context.desks[0], context.engines[0])
    for upstream in context.leaving:
        upstream.is_leaving = True


@behave.then(
    'no request reached the leaving server later than {bound:d} s after its '
    'first answer'
)
def none_reached(context, bound):
    # Streams and calls are answered within this time of their arrival.
    reached = 0
    for upstream in context.leaving:
        arrivals = sorted(upstream.arrivals_s)
        reached += len(arrivals)
        late = [each for each in arrivals if each - arrivals[0] > bound]
        assert not late, (upstream.name, len(arrivals), late)
    assert reached, 'the leaving servers were never used'


@behave.given('one server of each service turns requests away for {pause:g} s')
def one_pauses(context, pause):
    context.pausing = (context.desks[0], context.engines[0])
    for upstream in context.pausing:
        upstream.pause_s = pause


@behave.given('all servers turn requests away for {pause:g} s')
def all_pause(context, pause):
    context.pausing = (*context.desks, *context.engines)
    for upstream in context.pausing:
        upstream.pause_s = pause


@behave.then(
    'the pausing server got at most {count:d} requests in each pause after '
    '{since:g} s'
)
def few_in_pause(context, count, since):
    refusals = 0
    for upstream in context.pausing:
        refusals += len(upstream.turned_away_s)
        for start_s in upstream.turned_away_s:
            within = [
                each
                for each in upstream.arrivals_s
                if since < each - start_s < upstream.pause_s
            ]
            assert len(within) <= count, (upstream.name, within, start_s)
    assert refusals >= 2, 'the pausing server was not tried again'


@behave.then(
    'every booking was refused as not run, to return within {bound:g} s'
)
def all_refused(context, bound):
    for request, answer in context.answers:
        assert answer.status == 503, (request, answer.status, answer.body)
        error = json.loads(answer.body)['error']
        assert error['outcome'] == 'not_run', error
        assert 0 < float(answer.headers['retry-after']) <= bound, answer
        assert context.platform.runs[request] == 0, request

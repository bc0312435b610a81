"""What the report is told of an ended generation request."""

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.requests import generation as generations
from eelgrassknot import states

__all__ = ['generation_facts']


def generation_facts(
    machine: generations.Generation,
    service: ids.ServiceName,
    account: ids.ClientAccountId,
    bytes_in: int,
    bytes_out: int,
) -> kernel_events.GenerationFacts:
    """Return the facts of a request that has ended.

    Args:
        machine: The ended request.
        service: Service that it used.
        account: Account that it is charged to.
        bytes_in: Bytes that came from engines.
        bytes_out: Bytes that were sent to engines.
    """
    progress = machine.progress
    upstream = machine.upstream
    ended = machine.outcome
    delivered = progress.received()
    if not machine.streamed and ended.outcome is not states.Outcome.DONE:
        delivered = 0
    return kernel_events.GenerationFacts(
        request=machine.request,
        service=service,
        client_account=account,
        outcome=ended.outcome,
        reason=ended.reason,
        upstream=upstream and upstream.upstream,
        upstream_region=upstream and upstream.region,
        total_ms=progress.timeline.total_ms(),
        first_token_ms=progress.first_token_ms,
        token_gaps_ms=tuple(progress.gaps_ms),
        tokens_delivered=delivered,
        tokens_discarded=progress.discarded,
        discard_reason=progress.discard_reason,
        bytes_in=bytes_in,
        bytes_out=bytes_out,
        crossed_regions=machine.crosses_region,
        **progress.timeline.fields(),
    )

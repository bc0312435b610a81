"""What runs are known to take at each engine, here and at other VMs.

A report of an engine is old when it arrives, and several VMs that place
by the same old report choose the same engine. Each VM therefore counts
what it has placed itself and is told the sums of the others.
"""

import collections
import collections.abc
import dataclasses

from eelgrassknot import ids

__all__ = ['Commitment', 'Commitments', 'EngineSums', 'forecast_output']

PEER_SUMS_TTL_MS = 3_000.0
"""Sums of a peer that was not heard of for so long are forgotten; ms."""
DEFAULT_OUTPUT_SHARE = 0.5
"""Part of the largest output that a run without a hint is taken to make."""


@dataclasses.dataclass(frozen=True)
class EngineSums:
    """Totals of one VM's runs at one engine.

    Attributes:
        runs: Runs that are there.
        tokens: Memory that they take.
        copy_tokens: Memory that copies of runs elsewhere take there.
        unread_tokens: Prompt tokens of those without a first event.
    """

    runs: int = 0
    tokens: int = 0
    copy_tokens: int = 0
    unread_tokens: int = 0

    def add(self, other: 'EngineSums') -> 'EngineSums':
        """Return the sums of both."""
        return EngineSums(
            self.runs + other.runs,
            self.tokens + other.tokens,
            self.copy_tokens + other.copy_tokens,
            self.unread_tokens + other.unread_tokens,
        )


@dataclasses.dataclass
class Commitment:
    """One run of this VM.

    Attributes:
        upstream: Where it runs.
        copy: Where a copy of its memory grows, or None.
        prompt_tokens: Size of its prompt.
        output_tokens: Forecast of its output.
        produced_tokens: Output so far.
        started: Whether its first event has come.
    """

    upstream: ids.UpstreamId
    copy: ids.UpstreamId | None
    prompt_tokens: int
    output_tokens: int
    produced_tokens: int = 0
    started: bool = False

    @property
    def tokens(self) -> int:
        """Memory that it is taken to need at its end."""
        output = max(self.output_tokens, self.produced_tokens)
        return self.prompt_tokens + output


class Commitments:
    """Sums over the runs of this VM and of its peers.

    Example:
        >>> book = Commitments()
        >>> book.commit('r1', Commitment('e1', 'e2', 100, 50))
        >>> book.sums('e1', 0.0)
        EngineSums(runs=1, tokens=150, copy_tokens=0, unread_tokens=100)
        >>> book.sums('e2', 0.0).copy_tokens
        150
    """

    def __init__(self) -> None:
        self.runs: dict[object, Commitment] = {}
        self.peers: dict[
            collections.abc.Hashable,
            tuple[float, dict[ids.UpstreamId, EngineSums]],
        ] = {}

    def commit(self, run: object, commitment: Commitment) -> None:
        """Count a run from now on."""
        self.runs[run] = commitment

    def release(self, run: object) -> None:
        """Count a run no more."""
        self.runs.pop(run, None)

    def update_peer(
        self,
        peer: collections.abc.Hashable,
        sums: dict[ids.UpstreamId, EngineSums],
        now_ms: float,
    ) -> None:
        """Take in the sums of a peer, or of all VMs of another zone."""
        self.peers[peer] = (now_ms, sums)

    def own_sums(self) -> dict[ids.UpstreamId, EngineSums]:
        """Return the sums of this VM's runs by engine."""
        sums: dict[ids.UpstreamId, EngineSums] = collections.defaultdict(
            EngineSums
        )
        for run in self.runs.values():
            unread = 0 if run.started else run.prompt_tokens
            here = EngineSums(1, run.tokens, 0, unread)
            sums[run.upstream] = sums[run.upstream].add(here)
            if run.copy is not None:
                kept = EngineSums(0, 0, run.tokens, 0)
                sums[run.copy] = sums[run.copy].add(kept)
        return dict(sums)

    def all_sums(
        self,
        now_ms: float,
        peers: collections.abc.Collection[collections.abc.Hashable]
        | None = None,
    ) -> dict[ids.UpstreamId, EngineSums]:
        """Return sums over VMs by engine.

        Args:
            now_ms: The present time.
            peers: Whose to add to this VM's own, or None for all.
        """
        total = self.own_sums()
        for peer, (heard_ms, sums) in self.peers.items():
            if now_ms - heard_ms > PEER_SUMS_TTL_MS:
                continue
            if peers is not None and peer not in peers:
                continue
            for upstream, theirs in sums.items():
                total[upstream] = total.get(upstream, EngineSums()).add(theirs)
        return total

    def sums(self, upstream: ids.UpstreamId, now_ms: float) -> EngineSums:
        """Return the sums of all VMs at one engine."""
        return self.all_sums(now_ms).get(upstream, EngineSums())


def forecast_output(largest: int, hint: int | None) -> int:
    """Return how many tokens a run is taken to generate.

    Args:
        largest: Most that it may generate.
        hint: The caller's guess, or None.
    """
    if hint is None:
        return int(largest * DEFAULT_OUTPUT_SHARE)
    return min(largest, hint)

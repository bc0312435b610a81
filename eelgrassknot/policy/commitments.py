"""Engine capacity committed to runs of this VM and of other VMs.

Engine load reports are stale on arrival, and VMs that place runs by the
same stale report all choose the same engine. Each VM therefore keeps
track of its own placements and receives the sums of its peers.
"""

import collections
import collections.abc

import msgspec

from eelgrassknot import ids

__all__ = ['Commitment', 'Commitments', 'EngineSums', 'forecast_output']

PEER_SUMS_TTL_MS = 3_000.0
"""Age after which the sums of a peer are ignored; ms."""
DEFAULT_OUTPUT_SHARE = 0.5
"""Expected output of a run without a hint, as a share of its maximum."""


class EngineSums(msgspec.Struct, frozen=True):
    """Totals of one VM's runs at one engine.

    Attributes:
        runs: Number of runs.
        tokens: Memory that the runs need, in tokens.
        copy_tokens: Memory needed for copies of runs on other engines.
        unread_tokens: Prompt tokens of the runs without a first event yet.
    """

    runs: int = 0
    tokens: int = 0
    copy_tokens: int = 0
    unread_tokens: int = 0

    def add(self, other: 'EngineSums') -> 'EngineSums':
        """Return the element-wise sum."""
        return EngineSums(
            self.runs + other.runs,
            self.tokens + other.tokens,
            self.copy_tokens + other.copy_tokens,
            self.unread_tokens + other.unread_tokens,
        )


class Commitment(msgspec.Struct):
    """One run of this VM.

    Attributes:
        upstream: Engine on which it runs.
        copy: Engine that keeps a copy of its memory, or None.
        prompt_tokens: Size of the prompt.
        output_tokens: Forecast size of the output.
        produced_tokens: Output so far.
        started: Whether its first event has been received.
    """

    upstream: ids.UpstreamId
    copy: ids.UpstreamId | None
    prompt_tokens: int
    output_tokens: int
    produced_tokens: int = 0
    started: bool = False

    @property
    def tokens(self) -> int:
        """Memory that the run is expected to need when it completes."""
        output = max(self.output_tokens, self.produced_tokens)
        return self.prompt_tokens + output


class Commitments:
    """Commitments of this VM, and sums reported by its peers.

    Example:
        >>> commitments = Commitments()
        >>> commitments.commit('r1', Commitment('e1', 'e2', 100, 50))
        >>> commitments.sums('e1', 0.0)
        EngineSums(runs=1, tokens=150, copy_tokens=0, unread_tokens=100)
        >>> commitments.sums('e2', 0.0).copy_tokens
        150
    """

    def __init__(self) -> None:
        self.runs: dict[object, Commitment] = {}
        self.peers: dict[
            collections.abc.Hashable,
            tuple[float, dict[ids.UpstreamId, EngineSums]],
        ] = {}

    def commit(self, run: object, commitment: Commitment) -> None:
        """Add a run."""
        self.runs[run] = commitment

    def release(self, run: object) -> None:
        """Remove a run."""
        self.runs.pop(run, None)

    def update_peer(
        self,
        peer: collections.abc.Hashable,
        sums: dict[ids.UpstreamId, EngineSums],
        now_ms: float,
    ) -> None:
        """Store the sums of a peer, or of all VMs of another zone."""
        self.peers[peer] = (now_ms, sums)

    def own_sums(self) -> dict[ids.UpstreamId, EngineSums]:
        """Return the sums over this VM's runs, by engine."""
        sums: dict[ids.UpstreamId, EngineSums] = collections.defaultdict(
            EngineSums
        )
        for run in self.runs.values():
            unread = 0 if run.started else run.prompt_tokens
            own = EngineSums(1, run.tokens, 0, unread)
            sums[run.upstream] = sums[run.upstream].add(own)
            if run.copy is not None:
                copied = EngineSums(0, 0, run.tokens, 0)
                sums[run.copy] = sums[run.copy].add(copied)
        return dict(sums)

    def all_sums(
        self,
        now_ms: float,
        peers: collections.abc.Collection[collections.abc.Hashable]
        | None = None,
    ) -> dict[ids.UpstreamId, EngineSums]:
        """Return the sums of this VM and its peers, by engine.

        Args:
            now_ms: The present time.
            peers: Peers to include, or None for all.
        """
        total = self.own_sums()
        for peer, (received_ms, sums) in self.peers.items():
            if now_ms - received_ms > PEER_SUMS_TTL_MS:
                continue
            if peers is not None and peer not in peers:
                continue
            for upstream, peer_sums in sums.items():
                total[upstream] = total.get(upstream, EngineSums()).add(
                    peer_sums
                )
        return total

    def runs_at(self, upstream: ids.UpstreamId, now_ms: float) -> int:
        """Return the number of runs of all VMs at one engine.

        It is cheaper than the sums, as it is needed for many events.
        """
        runs = sum(run.upstream == upstream for run in self.runs.values())
        for received_ms, sums in self.peers.values():
            reported = sums.get(upstream)
            if (
                reported is not None
                and now_ms - received_ms <= PEER_SUMS_TTL_MS
            ):
                runs += reported.runs
        return runs

    def sums(self, upstream: ids.UpstreamId, now_ms: float) -> EngineSums:
        """Return the sums of all VMs at one engine."""
        return self.all_sums(now_ms).get(upstream, EngineSums())


def forecast_output(largest: int, hint: int | None) -> int:
    """Return the number of tokens a run is expected to generate.

    Args:
        largest: Maximum number of output tokens.
        hint: The caller's estimate, or None.
    """
    if hint is None:
        return int(largest * DEFAULT_OUTPUT_SHARE)
    return min(largest, hint)

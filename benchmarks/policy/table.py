"""Tables of the benchmark as text."""

from benchmarks.policy import measures
from benchmarks.policy import targets

__all__ = ['FiguresByRun', 'render', 'render_checks']

FiguresByRun = dict[tuple[str, float, str], measures.Figures]

HEAD = (
    f'{"load":>5} {"policy":20} {"stall":>6} {"p99":>6} {">100":>5} '
    f'{"pre/k":>6} {"gap50":>5} {"95":>5} {"99":>5} {"99.9":>6} '
    f'{"first50":>7} {"95":>6} {"99":>6} {"good/s":>6} {"ref%":>5} '
    f'{"early":>5} {"share":>5} {"linkMB":>6}'
)


def render(part: str, found: FiguresByRun) -> str:
    """Return the table of one part.

    Args:
        part: Name of the part.
        found: All figures by (part, load, label).
    """
    lines = ['', f'## {part}', HEAD]
    for (of, load, label), figures in sorted(
        found.items(), key=lambda item: item[0][:2]
    ):
        if of == part:
            lines.append(_line(load, label, figures))
    return '\n'.join(lines)


def render_checks(checks: list[targets.Check]) -> str:
    """Return the checks, one a line."""
    lines = ['', '## Targets']
    for check in checks:
        verdict = 'met   ' if check.met else 'MISSED'
        sign = '>=' if check.at_least else '<='
        lines.append(
            f'{verdict} {check.name}: {check.measured:.4g} '
            f'{sign} {check.bound:.4g}'
        )
    return '\n'.join(lines)


def _line(load: float, label: str, f: measures.Figures) -> str:
    gap = f.gap_ms
    first = f.first_token_ms
    return (
        f'{load:5.0%} {label:20} {f.stall_mean_ms:6.1f} '
        f'{f.stall_p99_ms:6.0f} {f.slow_gaps_ms[0]:5.0f} '
        f'{f.preemptions_per_1000:6.1f} {gap[0]:5.0f} {gap[1]:5.0f} '
        f'{gap[2]:5.0f} {gap[3]:6.0f} {first[0]:7.0f} {first[1]:6.0f} '
        f'{first[2]:6.0f} {f.goodput_per_s:6.0f} '
        f'{100 * f.refused_share:5.1f} {f.refused_early_share:5.2f} '
        f'{f.share_ratio:5.2f} {f.link_bytes / 1e6:6.1f}'
    )

"""Plots of the report as images for embedding."""

import io

from matplotlib import figure
import matplotlib.style
from matplotlib import ticker

from eelgrassknot.reporting import messages
from eelgrassknot.reporting import names

__all__ = ['PLOTS', 'render_figure']

MAX_ACCOUNTS = 12
# Bars below this fraction of the largest one would not be visible.
MIN_SHARE = 0.01
WIDTH_INCHES = 9.0
MIN_HEIGHT_INCHES = 2.2
BAR_HEIGHT_INCHES = 0.36
MARGIN_INCHES = 1.3
MS_PER_SECOND = 1000.0
# Qualitative colours, distinguishable with colour blindness and in greyscale.
COLOURS = {
    'entry_queue': '#0072b2',
    'limit': '#56b4e9',
    'engine_queue': '#004c6d',
    'prefill': '#cc79a7',
    'decode': '#d9d9d9',
    'stall': '#d55e00',
    'preemption': '#e69f00',
    'store': '#009e73',
    'link': '#8c564b',
    'upstream': '#bdbdbd',
    'unaccounted': '#000000',
    'replaced': '#d55e00',
    'resumed': '#e69f00',
    'caller_gone': '#0072b2',
    'generation': '#0072b2',
    'plain_call': '#e69f00',
    'control': '#009e73',
}
OTHER_COLOUR = '#7f7f7f'

# Phases in which an upstream processes the request; they are not waits.
WORK_PHASES = ('decode', 'upstream')

Bars = list[tuple[str, dict[str, float]]]


def render_figure(drawing: figure.Figure, kind: str) -> bytes:
    """Return a figure encoded as an image file.

    Args:
        drawing: Figure returned by one of ``PLOTS``.
        kind: ``svg`` or ``png``.
    """
    target = io.BytesIO()
    # A fixed salt and no date make the output reproducible.
    options = {'svg.hashsalt': 'eelgrassknot', 'svg.fonttype': 'none'}
    with matplotlib.style.context(options):
        metadata = {'Date': None} if kind == 'svg' else None
        drawing.savefig(target, format=kind, metadata=metadata)
    return target.getvalue()


def wait_times(report: messages.Report) -> list[figure.Figure]:
    """Plot the mean waiting time by phase, one figure per service.

    Phases in which an upstream processes the request are omitted.
    """
    services = {row.service for row in report.operations}
    drawn = []
    for service in sorted(services):
        rows = [row for row in report.operations if row.service == service]
        bars = [
            (_label(row), _mean_waits(row))
            for row in _largest(rows, _total_wait)
        ]
        drawn += _stacked(
            bars,
            [part.value for part in names.Phase],
            _escape_mathtext(f'Mean wait of a request to {service}, by cause'),
            'seconds',
        )
    return drawn


def token_gaps(report: messages.Report) -> list[figure.Figure]:
    """Plot quantiles of the time between tokens for each account."""
    rows = [row for row in report.operations if 'token_gap' in row.durations]
    rows = _largest(rows, lambda row: row.durations['token_gap'].p99_ms)
    if not rows:
        return []
    drawing, axes = _figure(
        len(rows), 'Time between tokens', 'milliseconds, log scale'
    )
    for name, colour in (
        ('p50_ms', '#0072b2'),
        ('p95_ms', '#e69f00'),
        ('p99_ms', '#d55e00'),
        ('largest_ms', '#000000'),
    ):
        values = [getattr(row.durations['token_gap'], name) for row in rows]
        label = name.removesuffix('_ms')
        axes.plot(values, range(len(rows)), 'o', color=colour, label=label)
    axes.set_xscale('log')
    axes.xaxis.set_major_locator(ticker.LogLocator(subs=(1, 2, 3, 5)))
    axes.xaxis.set_major_formatter('{x:g}')
    axes.xaxis.set_minor_formatter(ticker.NullFormatter())
    _format_axes(axes, [_label(row) for row in rows])
    return [drawing]


def discarded_tokens(report: messages.Report) -> list[figure.Figure]:
    """Plot tokens that were regenerated or reached no caller."""
    bars: Bars = []
    for row in _largest(report.money, _total_waste):
        bars.append((_label(row), _waste_by_reason(row)))
    reasons = [reason.value for reason in names.DiscardReason]
    return _stacked(
        bars,
        [*reasons, 'cut_short'],
        'Tokens generated twice, not received, or cut short',
        'tokens',
    )


def region_bytes(report: messages.Report) -> list[figure.Figure]:
    """Plot the traffic between regions by cause."""
    bars: Bars = []
    rows = _largest(report.money, lambda row: sum(row.region_bytes.values()))
    for row in rows:
        parts = {
            cause: count / 1e6 for cause, count in row.region_bytes.items()
        }
        bars.append((_label(row), parts))
    causes = [cause.value for cause in names.TrafficCause]
    return _stacked(bars, causes, 'Traffic between regions', 'megabytes')


PLOTS = {
    'operations': (wait_times, token_gaps),
    'money': (discarded_tokens, region_bytes),
}


def _mean_waits(row: messages.OperationsRow) -> dict[str, float]:
    return {
        part.part: part.total_ms / row.requests / MS_PER_SECOND
        for part in row.parts
        if part.part not in WORK_PHASES
    }


def _total_wait(row: messages.OperationsRow) -> float:
    return sum(_mean_waits(row).values())


def _waste_by_reason(row: messages.CostRow) -> dict[str, float]:
    parts = {**row.tokens_twice, **row.tokens_unreceived}
    if row.tokens_cut:
        parts['cut_short'] = row.tokens_cut
    return parts


def _total_waste(row: messages.CostRow) -> float:
    return sum(_waste_by_reason(row).values())


def _largest(rows, size) -> list:
    """Return the rows with the largest sizes, with services first."""
    least = MIN_SHARE * max(map(size, rows), default=0)
    kept = [row for row in rows if size(row) > least]
    kept.sort(key=lambda row: (row.client_account != '', -size(row)))
    services = sum(row.client_account == '' for row in kept)
    return kept[: services + MAX_ACCOUNTS]


def _label(row: messages.OperationsRow | messages.CostRow) -> str:
    service = row.service or 'no service'
    account = row.client_account or 'all accounts'
    return _escape_mathtext(f'{service}, {account}')


def _escape_mathtext(text: str) -> str:
    """Return a text with dollar signs escaped for matplotlib."""
    return text.replace('$', r'\$')


def _figure(
    bars: int, title: str, unit: str
) -> tuple[figure.Figure, 'matplotlib.axes.Axes']:
    height = max(MIN_HEIGHT_INCHES, MARGIN_INCHES + bars * BAR_HEIGHT_INCHES)
    drawing = figure.Figure(
        figsize=(WIDTH_INCHES, height), layout='constrained'
    )
    axes = drawing.subplots()
    axes.set_title(title, loc='left', fontsize=11, fontweight='bold')
    axes.set_xlabel(unit)
    return drawing, axes


def _stacked(
    bars: Bars, order: list[str], title: str, unit: str
) -> list[figure.Figure]:
    if not bars:
        return []
    used = {name for _, parts in bars for name in parts}
    listed = [name for name in order if name in used]
    listed += sorted(used - set(order))
    drawing, axes = _figure(len(bars), title, unit)
    reached = [0.0] * len(bars)
    for name in listed:
        values = [parts.get(name, 0.0) for _, parts in bars]
        axes.barh(
            range(len(bars)),
            values,
            left=reached,
            height=0.7,
            color=COLOURS.get(name, OTHER_COLOUR),
            label=name.replace('_', ' '),
        )
        reached = [a + b for a, b in zip(reached, values)]
    _format_axes(axes, [label for label, _ in bars])
    return [drawing]


def _format_axes(axes: 'matplotlib.axes.Axes', labels: list[str]) -> None:
    axes.set_yticks(range(len(labels)), labels)
    axes.invert_yaxis()
    axes.spines[['top', 'right']].set_visible(False)
    axes.grid(axis='x', color='#e5e5e5')
    axes.set_axisbelow(True)
    axes.legend(
        loc='upper left', bbox_to_anchor=(1.0, 1.0), frameon=False, fontsize=9
    )

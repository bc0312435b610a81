"""Simulated engines that execute orders with a fixed delay."""

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import order_messages as messages
from eelgrassknot.coordination import order_planner
from eelgrassknot.coordination import orders
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.settings import text as services_text
from eelgrassknot import states
from eelgrassknot.upstreams import messages as upstream_messages

__all__ = ['Fleet', 'make_services_text']

SERVICE = ids.ServiceName('quoter')
MODEL = 'm-quote'
LOAD_MS = 10_000.0
STEP_MS = 1_000.0


def make_services_text(version, depends_on=(), loads_per_minute=60.0):
    """Return a services text with an engine service and a plain one."""
    return services_text.ServicesText(
        deployment='test',
        regions=(),
        services=(
            services_text.Service(
                SERVICE,
                states.ServiceKind.ENGINE,
                depends_on=tuple(depends_on),
                model=services_text.Model(MODEL, version),
            ),
            services_text.Service(
                ids.ServiceName('orderdesk'), states.ServiceKind.PLAIN
            ),
        ),
        client_accounts=(),
        weight_store=services_text.WeightStore(loads_per_minute),
    )


class Fleet:
    """Engines that execute a planner's orders and record them."""

    def __init__(self, count, version=None):
        self.clock = clocks.ManualClock()
        self.planner = order_planner.OrderPlanner()
        self.version = {f'e{n}': version for n in range(count)}
        self.loading = {}
        self.sent = []
        self.records = {}
        self.bad_version = None
        self.lost_answers = set()
        self.max_changing = 0
        self.planner.handle(
            messages.UpstreamsUpdated(self.upstream_infos()), 0.0
        )

    def upstream_infos(self):
        return tuple(
            kernel_events.UpstreamInfo(
                ids.UpstreamId(name),
                SERVICE,
                states.ServiceKind.ENGINE,
                f'127.0.0.1:{number}',
                ids.AvailabilityZoneId('heredia'),
                ids.RegionId('central'),
                states.UpstreamState.LIVE,
            )
            for number, name in enumerate(self.version)
        )

    def adopt(self, text):
        self.handle(messages.ConfigUpdated(text))

    def gain_lease(self, fencing):
        records = tuple(self.records.values())
        self.handle(messages.LeaseGained(ids.FencingNumber(fencing), records))

    def replace_planner(self, text, fencing):
        self.planner = order_planner.OrderPlanner()
        self.handle(messages.UpstreamsUpdated(self.upstream_infos()))
        self.adopt(text)
        self.gain_lease(fencing)

    def handle(self, event):
        for action in self.planner.handle(event, self.clock.now_ms()):
            self.execute(action)

    def execute(self, action):
        match action:
            case messages.WriteIntent(upstream):
                self.handle(messages.IntentWritten(upstream))
            case messages.SendOrder(upstream, _, request):
                self.sent.append((self.clock.now_ms(), upstream, request))
                self.loading[upstream] = (
                    self.clock.now_ms() + LOAD_MS,
                    request.version,
                )
                self.handle(messages.OrderAnswered(upstream))
            case messages.SaveRollout(record):
                self.records[record.service] = record

    def run(self, seconds, requests=True):
        """Advance the time; each engine serves one request per step."""
        for _ in range(int(seconds * 1000 / STEP_MS)):
            self.clock.advance_ms(STEP_MS)
            self.step(requests)

    def step(self, requests=True):
        now_ms = self.clock.now_ms()
        for name, (done_ms, version) in list(self.loading.items()):
            if now_ms >= done_ms:
                self.version[name] = version
                del self.loading[name]
        for name in self.version:
            self.handle(
                messages.EngineStateRead(name, self.engine_state(name))
            )
            if requests and name not in self.loading:
                bad = self.version[name] == self.bad_version
                self.handle(messages.RequestEnded(SERVICE, name, bad))
        self.handle(messages.Tick())
        serving = [v for n, v in self.version.items() if v]
        if len(serving) == len(self.version):
            self.max_changing = max(self.max_changing, len(self.loading))

    def engine_state(self, name):
        version = self.version[name]
        held = (
            [upstream_messages.LoadedModel(MODEL, version)] if version else []
        )
        loading = [
            orders.LoadingModel(MODEL, version)
            for loading, (_, version) in self.loading.items()
            if loading == name
        ]
        return orders.EngineState(tuple(held), tuple(loading))

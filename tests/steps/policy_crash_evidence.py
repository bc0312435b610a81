"""Steps for the evidence on parts of prompts that crash engines."""

import random

import behave
import msgspec

from eelgrassknot import ids
from eelgrassknot.policy import crash_evidence

CULPRIT = 'bad'
VMS = 3
ROUNDS = 50
MAX_PARTS = 5
NARROWING_PROMPTS = 100
PROBES = 20
MIN_ROUND_MS = 50
MAX_ROUND_MS = 4_000


@behave.given('no evidence of crashes')
def given_nothing(context):
    context.evidence = crash_evidence.CrashEvidence()
    context.reports = []


def _crash(context, engine, now_ms, *prompts, began=True):
    for prompt in prompts:
        request = ids.RequestId(f'r{len(context.reports)}')
        report = crash_evidence.CrashReport(
            engine, request, frozenset(prompt.split()), now_ms, began
        )
        context.reports.append(report)
        context.evidence.record_crash(report)


@behave.when('engine "{engine}" crashes under "{prompt}" at {now_ms:d} ms')
def engine_crashes(context, engine, prompt, now_ms):
    _crash(context, engine, now_ms, *prompt.split('" and "'))


@behave.when(
    'engine "{engine}" crashes before its answer under "{prompt}" at '
    '{now_ms:d} ms'
)
def engine_crashes_early(context, engine, prompt, now_ms):
    _crash(context, engine, now_ms, prompt, began=False)


@behave.when('streams of "{parts}" survive at {now_ms:d} ms')
def streams_survive(context, parts, now_ms):
    context.evidence.record_survival(parts.split(), now_ms)


@behave.when('all reports are repeated {delay_ms:d} ms later')
def reports_repeated(context, delay_ms):
    for report in reversed(context.reports):
        late_ms = report.reported_ms + delay_ms
        context.evidence.record_crash(
            msgspec.structs.replace(report, reported_ms=late_ms)
        )


@behave.when('the evidence expires at {now_ms:d} ms')
def evidence_expires(context, now_ms):
    context.evidence.expire(now_ms)


@behave.when('{engines:d} engines crash and {parts:d} parts survive')
def many_crash(context, engines, parts):
    for number in random.Random(1).sample(range(engines), engines):
        _crash(context, f'e{number}', number, 'bad')
    for number in range(parts):
        context.evidence.record_survival([f'p{number}'], number)


@behave.then('prompts of "{parts}" pass at {now_ms:d} ms')
def prompts_pass(context, parts, now_ms):
    verdict = context.evidence.blocking(parts.split(), now_ms)
    assert verdict is None, verdict


@behave.then(
    'prompts of "{parts}" are blocked by "{combination}" at {now_ms:d} ms'
)
def prompts_blocked(context, parts, combination, now_ms):
    verdict = context.evidence.blocking(parts.split(), now_ms)
    assert verdict is not None
    assert verdict.parts == set(combination.split()), verdict


@behave.then('the suspects are "{parts}" at {now_ms:d} ms')
def suspects_are(context, parts, now_ms):
    found = context.evidence.suspects(now_ms)
    assert found == set(parts.split()), found


@behave.then('the suspects are "" at {now_ms:d} ms')
def no_suspects(context, now_ms):
    suspects_are(context, '', now_ms)


@behave.then('the block of "{part}" lasts until {until_ms:d} ms')
def block_lasts(context, part, until_ms):
    verdict = context.evidence.blocking(
        [part], context.reports[-1].reported_ms
    )
    assert verdict.until_ms == until_ms, verdict


@behave.then('the newest {reports:d} reports and {parts:d} survivals are kept')
def newest_kept(context, reports, parts):
    evidence = context.evidence
    newest = sorted(r.reported_ms for r in context.reports)[-reports:]
    assert newest == sorted(
        accusation.report.reported_ms
        for accusation in evidence.accusations.values()
    )
    assert sum(map(len, evidence.keys_by_part.values())) == reports
    last = max(evidence.survivals.values())
    assert sorted(evidence.survivals.values()) == list(
        range(int(last) - parts + 1, int(last) + 1)
    )


class _Vm:
    """Evidence of one VM, and what others have not delivered to it yet."""

    def __init__(self):
        self.evidence = crash_evidence.CrashEvidence()
        self.survived_ms = {}
        self.undelivered = []

    def deliver(self, share, rng):
        """Record a share of the undelivered records in random order."""
        rng.shuffle(self.undelivered)
        count = round(share * len(self.undelivered))
        records = self.undelivered[:count]
        del self.undelivered[:count]
        _record_all(self.evidence, records, rng)
        for record in records:
            if isinstance(record, tuple):
                for part in record[0]:
                    known_ms = self.survived_ms.get(part, 0.0)
                    self.survived_ms[part] = max(known_ms, record[1])


class _History:
    """Requests to three VMs, of which those with the culprit crash engines.

    With an even seed every VM learns all records at once, with an odd one
    some of the other VMs' records are delivered later.

    Attributes:
        companions: Parts that seldom occur without the culprit.
        lethal: Reports of requests with the culprit.
        records: Crash reports and (parts, time) of survivals.
        merged: A VM that learns all records at once.
        errors: Time of the first violation by property; ms.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        # Draws which reports are of answers that had begun.
        self.order = random.Random(seed)
        self.share = 0.4 if seed % 2 else 1.0
        self.companions = {
            f'companion-{number}': self.rng.choice([0.5, 0.8, 0.95])
            for number in range(self.rng.randint(0, 3))
        }
        self.vms = [_Vm() for _ in range(VMS)]
        self.merged = _Vm()
        self.now_ms = 0.0
        self.lethal = []
        self.records = []
        self.requests = 0
        self.errors = {}

    def play(self):
        for _ in range(ROUNDS):
            self.now_ms += self.rng.randint(MIN_ROUND_MS, MAX_ROUND_MS)
            self._play_engine()
            self._check()
        for vm in self.vms:
            vm.deliver(1.0, self.rng)
        self._check_narrowing()
        self._check_order()

    def engines(self):
        return {report.engine for report in self.lethal}

    def prompt(self, is_lethal=False):
        """Return the parts of a prompt, 2 to 5 without its own."""
        self.requests += 1
        parts = set()
        if is_lethal or self.rng.random() < 0.3:
            parts.add(CULPRIT)
        for part, probability in self.companions.items():
            if self.rng.random() < (probability if parts else 0.03):
                parts.add(part)
        kinds = [
            ['first-1', 'first-2'],
            [f'account-{number}' for number in range(4)],
            [f'document-{number}' for number in range(12)],
            [f'session-{self.requests}-{self.rng.random()}'],
        ]
        count = self.rng.randint(2, 5) - len(parts)
        if count > 0:
            chosen = self.rng.sample(kinds, min(count, len(kinds)))
            parts.update(self.rng.choice(kind) for kind in chosen)
        return frozenset(parts)

    def _play_engine(self):
        vm = self.rng.choice(self.vms)
        prompts = [self.prompt() for _ in range(self.rng.randint(1, 4))]
        prompts = [
            prompt
            for prompt in prompts
            if vm.evidence.blocking(prompt, self.now_ms) is None
        ]
        is_reset = self.rng.random() < 0.1
        has_crashed = any(CULPRIT in prompt for prompt in prompts)
        engine = f'i-{self.rng.randint(1, 6)}@{self.now_ms}'
        records = []
        for prompt in prompts:
            if not has_crashed and not is_reset:
                records.append((prompt, self.now_ms))
            elif CULPRIT in prompt or self.rng.random() < 0.7:
                records.append(self._report(engine, prompt))
        self._share(records, vm)

    def _report(self, engine, prompt):
        self.requests += 1
        request = ids.RequestId(f'r{self.requests}')
        last_ms = max((r.reported_ms for r in self.lethal), default=0)
        began = self.now_ms - last_ms < 250 or self.order.random() < 0.7
        report = crash_evidence.CrashReport(
            engine, request, prompt, self.now_ms, began
        )
        if CULPRIT in prompt:
            self.lethal.append(report)
        return report

    def _share(self, records, source):
        self.records += records
        for vm in [self.merged, *self.vms]:
            is_delayed = vm not in (self.merged, source)
            vm.undelivered += records
            vm.deliver(self.share if is_delayed else 1.0, self.rng)

    def _require(self, is_met, name):
        if not is_met:
            self.errors.setdefault(name, self.now_ms)

    def _is_blocked(self, parts):
        found = self.merged.evidence.blocking(parts, self.now_ms)
        return found is not None

    def _check(self):
        for vm in [self.merged, *self.vms]:
            sound = {
                part
                for part, survived_ms in vm.survived_ms.items()
                if survived_ms >= self.now_ms - 30_000
            }
            self._require(CULPRIT not in sound, 'culprit survived')
            found = vm.evidence.blocking(sound, self.now_ms)
            self._require(found is None, 'sound blocked')
        engines = self.engines()
        if len(engines) >= 3:
            blocked = {
                report.engine
                for report in self.lethal
                if self._is_blocked(report.parts)
            }
            self._require(blocked == engines, 'crash passes')
        if len(engines) >= 5:
            common = frozenset.intersection(*(r.parts for r in self.lethal))
            self._require(self._is_blocked(common), 'common parts pass')

    def _check_narrowing(self):
        known = len(self.engines())
        for _ in range(NARROWING_PROMPTS):
            prompt = self.prompt(is_lethal=True)
            if not self._is_blocked(prompt):
                self.now_ms += 1.0
                report = self._report(f'i-1@{self.now_ms}', prompt)
                self._share([report], self.vms[0])
                self._check()
        for vm in self.vms:
            vm.deliver(1.0, self.rng)
        more = len(self.engines()) - max(known, 5)
        self._require(more <= MAX_PARTS - 1, 'too many crashes')
        self._require(self._is_blocked({CULPRIT}), 'culprit passes')

    def _check_order(self):
        other = crash_evidence.CrashEvidence()
        _record_all(other, self.records, self.rng)
        probes = [self.prompt() for _ in range(PROBES)]
        for later_ms in (0, 400_000, 590_000, 700_000):
            now_ms = self.now_ms + later_ms
            for vm in [self.merged, *self.vms]:
                found = [vm.evidence.blocking(p, now_ms) for p in probes]
                expected = [other.blocking(p, now_ms) for p in probes]
                self._require(found == expected, 'verdicts differ')
                suspects = vm.evidence.suspects(now_ms)
                expected = other.suspects(now_ms)
                self._require(suspects == expected, 'suspects differ')


def _record_all(evidence, records, rng):
    """Record in random order, some of it twice."""
    repeated = [record for record in records if rng.random() < 0.3]
    for record in rng.sample(records + repeated, len(records) + len(repeated)):
        if isinstance(record, tuple):
            evidence.record_survival(*record)
        else:
            evidence.record_crash(record)


@behave.given(
    '{count:d} seeded histories with one culprit, bystanders and resets'
)
def given_histories(context, count):
    context.histories = {seed: _History(seed) for seed in range(count)}
    for history in context.histories.values():
        history.play()


def _assert_none(context, *names):
    found = {
        seed: history.errors
        for seed, history in context.histories.items()
        if any(name in history.errors for name in names)
    }
    assert not found, found


@behave.then('parts that survived within 30 s never block a request')
def sound_never_blocked(context):
    _assert_none(context, 'sound blocked', 'culprit survived')


@behave.then(
    'of every crash a request with the culprit is blocked from the third'
)
def crashes_blocked(context):
    assert all(len(h.engines()) >= 3 for h in context.histories.values())
    _assert_none(context, 'crash passes')


@behave.then('what all crashes have in common is blocked from the fifth')
def common_blocked(context):
    _assert_none(context, 'common parts pass')


@behave.then('at most 4 crashes after the fifth reveal the culprit alone')
def culprit_revealed(context):
    _assert_none(context, 'too many crashes', 'culprit passes')


@behave.then('all VMs and any order of the records give the same verdicts')
def same_verdicts(context):
    _assert_none(context, 'verdicts differ', 'suspects differ')

"""Stateful test of the control stream: no order of records violates its invariants."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sequoiapoint.protocol.records import (
    DocumentSubmitted,
    Envelope,
    HoldingAbsent,
    HoldingResident,
    LoadResent,
    LoadReserved,
    OwnerClaimed,
    ServerDown,
    ServerSeen,
    UnloadCancelled,
    UnloadStarted,
    record_position,
)
from sequoiapoint.state.control import ControlState
from standins import deployments

ZONE = "north"
SERVERS = ("engine-0", "engine-2")
LIMIT_MB = 60_000
ARTIFACTS = ("m-model-0@1", "m-model-0@2", "m-model-2@1", "m-adapter-0@1")
HOLDINGS = st.sampled_from([f"h{i}" for i in range(8)])
CLAIMS = st.integers(0, 3)


class ControlMachine(RuleBasedStateMachine):
    """Applies records of current and replaced owners in any order, some repeatedly."""

    def __init__(self):
        super().__init__()
        self.state = ControlState()
        self.offset = 0
        self.sequence = 0
        self.claims = [0]
        self.version = 0
        self.last = None
        self.add(DocumentSubmitted(0, deployments.small(), "op", "s0"))

    def add(self, record):
        self.offset += 1
        self.sequence += 1
        self.last = Envelope("host", "1", self.sequence, record)
        return self.state.apply(record_position(self.offset, 0), self.last)

    def claim(self, index):
        return self.claims[max(0, len(self.claims) - 1 - index)]

    @rule()
    def take_over(self):
        outcome = self.add(OwnerClaimed(ZONE, self.claims[-1]))
        assert outcome.applied
        self.claims.append(outcome.position)

    @rule(base=st.integers(0, 2))
    def submit(self, base):
        version = self.state.configuration.version
        record = DocumentSubmitted(
            max(0, version - base), deployments.small(), "op", f"s{self.offset}"
        )
        assert self.add(record).applied == (base == 0)

    @rule(
        index=CLAIMS,
        server=st.sampled_from(SERVERS),
        incarnation=st.sampled_from("ab"),
    )
    def mark_up(self, index, server, incarnation):
        outcome = self.add(ServerSeen(ZONE, self.claim(index), server, incarnation))
        assert not outcome.applied or self.claim(index) == self.claims[-1]

    @rule(index=CLAIMS, server=st.sampled_from(SERVERS))
    def mark_down(self, index, server):
        self.add(ServerDown(ZONE, self.claim(index), server))

    @rule(
        index=CLAIMS,
        holding=HOLDINGS,
        server=st.sampled_from(SERVERS),
        incarnation=st.sampled_from("ab"),
        artifact=st.sampled_from(ARTIFACTS),
        mb=st.sampled_from([400, 12_000, 30_000]),
    )
    def reserve(self, index, holding, server, incarnation, artifact, mb):
        claim = self.claim(index)
        outcome = self.add(
            LoadReserved(
                ZONE, claim, server, incarnation, holding, artifact, mb, LIMIT_MB
            )
        )
        assert not outcome.applied or claim == self.claims[-1]

    @rule(index=CLAIMS, holding=HOLDINGS)
    def report_resident(self, index, holding):
        self.add(HoldingResident(ZONE, self.claim(index), holding, 1))

    @rule(index=CLAIMS, holding=HOLDINGS)
    def resend(self, index, holding):
        self.add(LoadResent(ZONE, self.claim(index), holding))

    @rule(index=CLAIMS, holding=HOLDINGS)
    def unload(self, index, holding):
        before = self.state.ledger.get(holding)
        names = self.state.names_served_by(before) if before else []
        served = [n for n in names if self.state.serving_copies(n)]
        self.add(UnloadStarted(ZONE, self.claim(index), holding))
        assert all(self.state.serving_copies(n) for n in served)

    @rule(index=CLAIMS, holding=HOLDINGS)
    def cancel_unload(self, index, holding):
        self.add(UnloadCancelled(ZONE, self.claim(index), holding))

    @rule(
        index=CLAIMS,
        holding=HOLDINGS,
        proof=st.sampled_from(["refused", "vanished", "fenced"]),
    )
    def report_absent(self, index, holding, proof):
        before = self.state.ledger.get(holding)
        self.add(HoldingAbsent(ZONE, self.claim(index), holding, proof))
        if before is not None and before.sends > 1 and proof != "fenced":
            assert self.state.ledger.get(holding) is not None

    @rule()
    def repeat(self):
        before = self.state.to_json()
        self.offset += 1
        outcome = self.state.apply(record_position(self.offset, 0), self.last)
        assert outcome.reason == "repeated"
        assert self.state.to_json() == before

    @rule()
    def restart_from_snapshot(self):
        before = self.state.to_json()
        self.state = ControlState.from_json(before)
        assert self.state.to_json() == before

    @invariant()
    def memory_is_not_overcommitted(self):
        for server in SERVERS:
            assert self.state.ledger.committed_mb(server) <= LIMIT_MB

    @invariant()
    def the_configuration_version_never_decreases(self):
        assert self.state.configuration.version >= self.version
        self.version = self.state.configuration.version


TestControlMachine = ControlMachine.TestCase

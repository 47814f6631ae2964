"""Tests of the fold from log records to the configuration."""

import unittest
from unittest import mock

import msgspec

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Configure
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Record
from bulrushflow.configuration import RolloutStatus
from bulrushflow.configuration import RouteBody
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import WithdrawRollout
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import fold
from bulrushflow.configuration import record_digest
from bulrushflow.exceptions import InvariantError


def fold_all(*records: Record | bytes) -> Configuration:
    configuration = EMPTY_CONFIGURATION
    for offset, record in enumerate(records):
        body = record if isinstance(record, bytes) else encode_record(record)
        configuration = fold(configuration, LogRecord(offset, 1000 + offset, body))
    return configuration


PLOTS = Configure(
    1,
    "p1",
    "ana",
    services={"plots": ServiceBody("v1")},
    routes={"/plots": RouteBody("plots")},
)


class FoldTests(unittest.TestCase):
    def test_rejected_records_change_only_the_verdicts(self) -> None:
        cases: dict[str, Record | bytes] = {
            "unknown service": Configure(1, "x", "ana", routes={"/dues": RouteBody("dues")}),
            "points at unknown": Configure(1, "x", "ana", services={"plots": None}),
            "unknown schema": Configure(9, "x", "ana"),
            "changed": Configure(1, "x", "ana", base={"service/plots": 7}),
            "neither": Configure(1, "x", "ana", base={"plots": 7}),
            "malformed": b"no JSON",
            "at version": StartRollout(1, "x", "ana", "plots", "v1", 99999),
            "has passed": StartRollout(1, "x", "ana", "plots", "v2", 5),
            "unknown move": WithdrawRollout(1, "x", "ana", "none"),
        }
        before = fold_all(PLOTS)
        for reason, record in cases.items():
            with self.subTest(reason):
                after = fold_all(PLOTS, record)
                self.assertEqual(after.services_by_name, before.services_by_name)
                self.assertEqual(after.routes_by_path, before.routes_by_path)
                verdict = list(after.verdicts_by_publish_id.values())[-1]
                self.assertFalse(verdict.accepted)
                self.assertIn(reason, verdict.reason)

    def test_a_duplicate_publish_id_takes_effect_once(self) -> None:
        other = Configure(1, "p1", "ana", services={"plots": ServiceBody("v9")})
        self.assertEqual(fold_all(PLOTS, other).services_by_name["plots"].version, "v1")

    def test_a_gap_raises_an_invariant_error(self) -> None:
        with self.assertRaises(InvariantError):
            fold(EMPTY_CONFIGURATION, LogRecord(1, 0, encode_record(PLOTS)))

    def test_the_first_final_record_of_a_rollout_stands(self) -> None:
        start = StartRollout(1, "m", "ana", "plots", "v2", 99999)
        done = FinishRollout(1, "m/done", "m", False, "healthy", "", "n1")
        withdraw = WithdrawRollout(1, "w", "ana", "m")
        finished = fold_all(PLOTS, start, done, withdraw)
        self.assertEqual(finished.moves_by_id["m"].status, RolloutStatus.COMPLETED)
        self.assertEqual(finished.services_by_name["plots"].version, "v2")
        self.assertFalse(finished.verdicts_by_publish_id["w"].accepted)
        withdrawn = fold_all(PLOTS, start, withdraw, done)
        self.assertEqual(withdrawn.moves_by_id["m"].status, RolloutStatus.WITHDRAWN)
        self.assertEqual(withdrawn.services_by_name["plots"].version, "v1")

    def test_a_conflicting_record_is_rejected_with_the_first_publisher(self) -> None:
        first = Configure(1, "a", "ana", services={"plots": ServiceBody("v2")})
        base = {"service/plots": 0}
        second = Configure(1, "b", "bojan", services={"plots": ServiceBody("v3")}, base=base)
        rollout = StartRollout(1, "m", "ana", "plots", "v4", 99999)
        cases: dict[str, list[Record | bytes]] = {
            "offset 1 by ana came first": [PLOTS, first, second],
            "'m', stated at offset 1 by ana": [
                PLOTS,
                rollout,
                StartRollout(1, "b", "bojan", "plots", "v5", 99999),
            ],
            "withdrawn already, at offset 2 by ana": [
                PLOTS,
                rollout,
                WithdrawRollout(1, "w", "ana", "m"),
                WithdrawRollout(1, "b", "bojan", "m"),
            ],
        }
        for reason, records in cases.items():
            with self.subTest(reason):
                verdict = fold_all(*records).verdicts_by_publish_id["b"]
                self.assertFalse(verdict.accepted)
                self.assertIn(reason, verdict.reason)

    def test_the_digest_distinguishes_records_with_the_same_publish_id(self) -> None:
        recorded = fold_all(PLOTS).verdicts_by_publish_id["p1"].record_digest
        self.assertEqual(record_digest(msgspec.structs.replace(PLOTS, made_at=0)), recorded)
        self.assertNotEqual(record_digest(Configure(1, "p1", "bojan")), recorded)


class VerdictWindowTests(unittest.TestCase):
    def test_a_duplicate_from_beyond_the_window_is_rejected(self) -> None:
        with mock.patch("bulrushflow.configuration.fold.MAX_VERDICTS", 3):
            rollout = StartRollout(1, "m", "ana", "plots", "v2", 99999, made_at=0)
            ended = WithdrawRollout(1, "w", "ana", "m")
            for count, reason in {1: "", 4: "an earlier copy may have taken effect"}.items():
                with self.subTest(count=count):
                    other_records = [Configure(1, f"n{i}", "ana") for i in range(count)]
                    state = fold_all(PLOTS, rollout, ended, *other_records, rollout)
                    self.assertEqual(state.active_rollouts(), [])
                    self.assertIn(reason, state.verdicts_by_publish_id["m"].reason)

    def test_made_at_must_be_a_version_before_the_record(self) -> None:
        for made_at in (0, 5, -2):
            with self.subTest(made_at=made_at):
                record = msgspec.structs.replace(PLOTS, made_at=made_at)
                verdict = fold_all(record).verdicts_by_publish_id["p1"]
                self.assertIn("not before", verdict.reason)

    def test_a_finished_rollout_is_not_started_again_when_its_verdict_was_dropped(self) -> None:
        with mock.patch("bulrushflow.configuration.fold.MAX_VERDICTS", 2):
            rollout = StartRollout(1, "m", "ana", "plots", "v2", 99999)
            other_records = [Configure(1, f"n{i}", "ana") for i in range(3)]
            state = fold_all(
                PLOTS, rollout, WithdrawRollout(1, "w", "ana", "m"), *other_records, rollout
            )
            self.assertEqual(state.moves_by_id["m"].status, RolloutStatus.WITHDRAWN)

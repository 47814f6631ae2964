import unittest

from msgspec.structs import replace

from bulrushflow.organisations import Allowance
from bulrushflow.organisations import AllowanceHome
from bulrushflow.organisations import Allowances
from bulrushflow.organisations import Decision
from bulrushflow.organisations import Demand
from bulrushflow.organisations import Grant
from bulrushflow.organisations import Holding
from bulrushflow.organisations import HomeChoice
from bulrushflow.organisations import Limit
from bulrushflow.organisations import has_floor
from bulrushflow.organisations.allowances import FLOOR_PERIOD_S
from bulrushflow.organisations.allowances import MAX_RETRY_AFTER_S
from bulrushflow.organisations.allowances import MIN_ASK_INTERVAL_S
from bulrushflow.organisations.allowances import TOKEN_LIFETIME_S
from bulrushflow.organisations.homes import CONTENDED_RENEW_S
from bulrushflow.organisations.homes import HEADROOM
from bulrushflow.organisations.homes import LEASE_S

LIMIT = Limit(100.0, 50.0)
KEYS = [f"node/10.0.0.{i}" for i in range(20)]
ROUNDING = 1e-9


def demand(per_s: float, wanted: int = 0, held: float = 0.0, depth: float = 0.0) -> Demand:
    return Demand("oak", per_s, wanted, held, depth)


def grant(share: float = 0.0, depth: float = 0.0, tokens: int = 0, retry: float = 1.0) -> Grant:
    return Grant("oak", share, depth, tokens, retry, 2.0, 0.0)


class HomeChoiceTests(unittest.TestCase):
    def choice(self, *unreachable: str) -> HomeChoice:
        choice = HomeChoice()
        choice.change(KEYS, unreachable)
        return choice

    def test_all_nodes_choose_the_same_home_in_whatever_order_they_know_the_nodes(self) -> None:
        reverse = HomeChoice()
        reverse.change(KEYS[::-1], ())
        for i in range(50):
            self.assertEqual(self.choice().home_of(f"o-{i}"), reverse.home_of(f"o-{i}"))

    def test_only_the_organisations_of_an_unreachable_home_change_theirs(self) -> None:
        before = {f"o-{i}": self.choice().home_of(f"o-{i}") for i in range(50)}
        for name, home in before.items():
            after = self.choice(KEYS[3]).home_of(name)
            self.assertEqual(after == home, home != KEYS[3])

    def test_without_nodes_there_is_no_home(self) -> None:
        self.assertIsNone(HomeChoice().home_of("oak"))


class AllowanceTests(unittest.TestCase):
    def setUp(self) -> None:
        self.allowance = Allowance("oak", LIMIT, 0.0)

    def test_a_share_passes_requests_at_its_rate_without_asking(self) -> None:
        self.allowance.apply_grant(grant(share=10.0, depth=2.0), demand(10.0), 0.0)
        decisions = [self.allowance.arrive(0.1 * i) for i in range(1, 40)]
        self.assertEqual(set(decisions[1:]) | {decisions[0]}, {Decision.PASS})

    # A share that starts full would add its depth to what the former holder has just spent.
    def test_a_new_share_begins_without_tokens(self) -> None:
        self.allowance.apply_grant(grant(share=10.0, depth=5.0), demand(10.0), 0.0)
        self.assertIs(self.allowance.arrive(0.0), Decision.ASK)

    def test_granted_tokens_pass_requests_until_they_expire(self) -> None:
        self.allowance.apply_grant(grant(tokens=2), demand(0.0, wanted=2), 1.0)
        self.assertIs(self.allowance.arrive(1.0), Decision.PASS)
        self.assertIs(self.allowance.arrive(1.0 + TOKEN_LIFETIME_S), Decision.ASK)

    def test_without_tokens_the_home_is_not_asked_again_at_once(self) -> None:
        self.allowance.apply_grant(grant(retry=0.0), demand(0.0, wanted=1), 0.0)
        self.assertIs(self.allowance.arrive(0.01), Decision.REFUSE)
        self.assertIs(self.allowance.arrive(MIN_ASK_INTERVAL_S), Decision.ASK)

    # Refused callers that all come back at the same moment are refused again.
    def test_refused_callers_are_told_different_times(self) -> None:
        self.allowance.apply_grant(grant(share=10.0, depth=2.0), demand(0.0, wanted=1), 0.0)
        times = [self.allowance.retry_after_s(0.0) for _ in range(60)]
        self.assertEqual(times, sorted(times))
        self.assertAlmostEqual(times[11] - times[10], 0.1)
        self.assertEqual(times[-1], MAX_RETRY_AFTER_S)

    def test_a_share_is_kept_while_the_home_does_not_answer(self) -> None:
        self.allowance.apply_grant(grant(share=10.0, depth=2.0), demand(10.0), 0.0)
        self.allowance.mark_offline(0.5)
        self.assertIs(self.allowance.arrive(30.0), Decision.PASS)

    def test_a_node_without_a_share_uses_its_fallback_only_while_the_home_is_away(self) -> None:
        self.allowance.apply_grant(replace(grant(), fallback_per_s=2.0), demand(1.0), 0.0)
        self.assertIs(self.allowance.arrive(5.0), Decision.ASK)
        self.allowance.mark_offline(5.0)
        self.assertIs(self.allowance.arrive(5.6), Decision.PASS)
        # The home has to learn of it, since it reserved nothing.
        self.assertEqual(self.allowance.demand(5.6).spent, 1)
        self.assertIsNot(self.allowance.arrive(5.7), Decision.PASS)

    def test_a_lower_limit_reduces_the_share_at_once(self) -> None:
        self.allowance.apply_grant(grant(share=10.0, depth=5.0), demand(10.0), 0.0)
        self.allowance.change_limit(Limit(10.0, 5.0), 1.0)
        self.assertAlmostEqual(self.allowance.per_s, 1.0)
        self.assertLess(self.allowance.depth, 5.0)
        self.assertLessEqual(self.allowance.tokens, self.allowance.depth)
        self.assertTrue(self.allowance.is_due(1.0))

    def test_a_higher_limit_raises_no_share_without_the_home(self) -> None:
        self.allowance.apply_grant(grant(share=10.0, depth=5.0), demand(10.0), 0.0)
        self.allowance.change_limit(Limit(1000.0, 500.0), 1.0)
        self.assertAlmostEqual(self.allowance.per_s, 10.0)

    def test_organisations_without_a_limit_have_no_allowance(self) -> None:
        allowances = Allowances()
        allowances.configure({"oak": LIMIT}, 0.0)
        self.assertIsNone(allowances.get("elm", 0.0))
        self.assertIsNotNone(allowances.get("oak", 0.0))
        allowances.configure({}, 1.0)
        self.assertIsNone(allowances.get("oak", 1.0))


class FloorTests(unittest.TestCase):
    def test_a_node_spends_at_most_one_token_in_a_period(self) -> None:
        allowance = Allowance("oak", LIMIT, 0.0)
        spent = [allowance.spend_floor("node/a", 1, i * FLOOR_PERIOD_S / 10) for i in range(100)]
        self.assertEqual(sum(spent), 10)

    # With one token for each node, 68 nodes exceed the bound of an organisation with a low limit.
    def test_the_nodes_that_may_change_and_are_few_for_a_low_limit(self) -> None:
        limit = Limit(5.0, 2.0)
        keys = [f"node/10.1.0.{i}" for i in range(68)]
        chosen = [
            {key for key in keys if has_floor("oak", key, len(keys), period, limit)}
            for period in range(60)
        ]
        self.assertLess(sum(map(len, chosen)) / len(chosen), limit.tolerance / 4)
        self.assertEqual(set[str]().union(*chosen), set(keys))


class HomeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.home = AllowanceHome()
        self.home.change_nodes(KEYS, (), {"oak"}, 0.0)
        self.home.unheard.clear()

    def report(self, key: str, item: Demand, now: float) -> Grant:
        return self.home.report(key, item, LIMIT, now)

    def test_shares_and_pool_never_exceed_the_rate(self) -> None:
        held = dict.fromkeys(KEYS, 0.0)
        depths = dict.fromkeys(KEYS, 0.0)
        for round_ in range(8):
            for i, key in enumerate(KEYS):
                per_s = 40.0 if (i + round_) % 5 == 0 else 3.0
                item = demand(per_s, 0, held[key], depths[key])
                answer = self.report(key, item, round_ * 0.5)
                held[key], depths[key] = answer.share_per_s, answer.share_depth
                self.assertLessEqual(sum(held.values()), LIMIT.assignable_per_s + ROUNDING)
                self.assertLessEqual(sum(depths.values()), LIMIT.share_depth + ROUNDING)

    def test_nodes_report_more_often_while_the_limit_does_not_suffice(self) -> None:
        self.assertGreater(self.report(KEYS[0], demand(10.0), 0.0).renew_after_s, CONTENDED_RENEW_S)
        answer = self.report(KEYS[1], demand(500.0), 0.0)
        self.assertEqual(answer.renew_after_s, CONTENDED_RENEW_S)

    def test_a_silent_node_s_share_stays_reserved_until_the_node_says_otherwise(self) -> None:
        share = self.report(KEYS[0], demand(500.0), 0.0).share_per_s
        self.assertAlmostEqual(share, LIMIT.assignable_per_s)
        for i in range(1, 40):
            self.assertEqual(self.report(KEYS[1], demand(50.0), float(i)).share_per_s, 0.0)
        self.assertIn(KEYS[0], self.home.silent_nodes(40.0))
        self.home.record_holdings(KEYS[0], [Holding("oak", 5.0, 1.0)], 40.0)
        later = self.report(KEYS[1], demand(50.0), 40.0).share_per_s
        self.assertAlmostEqual(later, 50.0 * HEADROOM)

    def test_a_node_that_reports_is_not_silent(self) -> None:
        self.report(KEYS[0], demand(5.0), 0.0)
        self.assertEqual(self.home.silent_nodes(LEASE_S - 0.1), set())

    # A home that was restarted doesn't know what its predecessor granted a moment before.
    def test_a_new_home_grants_no_burst_and_leaves_its_part_to_each_unheard_node(self) -> None:
        home = AllowanceHome()
        home.change_nodes(KEYS, (), {"oak"}, 100.0)
        first = home.report(KEYS[0], demand(500.0, wanted=100), LIMIT, 100.0)
        self.assertLessEqual(first.tokens, LIMIT.tolerance / 10)
        self.assertLess(first.share_per_s, LIMIT.per_s * 0.1)
        self.assertEqual(home.silent_nodes(100.0), set(KEYS))
        for key in KEYS[1:]:
            home.add_holdings(key, [Holding("oak", 2.0, 1.0)], {"oak": LIMIT}, 100.1)
        later = home.report(KEYS[0], demand(500.0), LIMIT, 100.1)
        self.assertAlmostEqual(later.share_per_s, LIMIT.assignable_per_s - 2.0 * (len(KEYS) - 1))

    def test_an_organisation_that_begins_to_send_has_its_burst(self) -> None:
        answer = self.report(KEYS[0], demand(0.0, wanted=100), 60.0)
        self.assertGreaterEqual(answer.tokens, int(LIMIT.burst / 2))

    def test_tokens_that_passed_without_the_home_are_taken_from_the_pool(self) -> None:
        self.report(KEYS[0], demand(0.0), 60.0)
        spent = replace(demand(0.0, wanted=100), spent=1000)
        self.assertEqual(self.report(KEYS[1], spent, 60.0).tokens, 0)
        self.assertGreater(self.report(KEYS[1], demand(0.0, wanted=100), 63.0).tokens, 0)

    def test_each_unreachable_node_has_its_part_reserved(self) -> None:
        self.home.change_nodes(KEYS, KEYS[:10], {"oak"}, 60.0)
        share = self.report(KEYS[15], demand(500.0), 60.0).share_per_s
        self.assertAlmostEqual(share, LIMIT.assignable_per_s - 10 * LIMIT.per_s / 21)

    def test_a_pause_of_the_home_costs_the_tokens_of_the_pool(self) -> None:
        self.report(KEYS[0], demand(0.0), 60.0)
        self.home.note_pause(65.0)
        self.assertEqual(self.report(KEYS[0], demand(0.0, wanted=100), 65.0).tokens, 0)

    def test_a_node_that_is_gone_frees_its_share(self) -> None:
        self.report(KEYS[0], demand(500.0), 0.0)
        self.home.change_nodes(KEYS[1:], (), {"oak"}, 1.0)
        share = self.report(KEYS[1], demand(500.0), 1.0).share_per_s
        self.assertAlmostEqual(share, LIMIT.assignable_per_s)

"""Tests of what crashes prove about requests, against naive models and in simulated fleets."""

import unittest
from typing import Any, Final

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.quarantine.quarantine import (
    ANSWERED_MAX,
    CRASHES_TO_REFUSE_ANSWERED_PART,
    CRASHES_TO_REFUSE_PART,
    EVIDENCE_S,
    FIRST_REFUSAL_S,
    JOINT_TRIAL_DELAY_S,
    LATER_REFUSALS_S,
    SUSPECTS_MAX,
    TRIAL_S,
    Quarantine,
)
from gypsumpier.quarantine.suspect import CRASHES_MAX as CRASHES_PER_SUSPECT_MAX
from gypsumpier.quarantine.trait import traits_of
from gypsumpier.test.simulated_crashes import CrashSimulation, Load

DAY_S: Final = 24 * 3600.0
STABLE_S: Final = 3.0
LATE_MAX: Final = 3
"""Requests with a part that may reach upstreams once five crashes are known everywhere."""
FATAL: Final = "bad"


class QuarantineCase(unittest.TestCase):
    """Base of tests of one quarantine; ``now_s`` is the time."""

    def setUp(self) -> None:
        self.quarantine = Quarantine(FIRST_REFUSAL_S)
        self.now_s = 1000.0
        self.number = 0

    def traits(self, *parts: str) -> tuple[str, ...]:
        """Return the traits of a new request with these parts."""
        self.number += 1
        return traits_of(f"request-{self.number}", parts)

    def crash(self, *batch: tuple[str, ...], after_s: float = 0.2) -> None:
        """End an upstream that runs requests with these parts."""
        self.now_s += after_s
        self.number += 1
        crash = f"i-{self.number}/1"
        for parts in batch:
            self.quarantine.record_crash(self.traits(*parts), crash, self.now_s)

    def answer(self, *parts: str) -> None:
        """Answer a request with these parts."""
        self.quarantine.record_answered(self.traits(*parts), self.now_s)

    def refused_for_s(self, *parts: str) -> float:
        """Return for how many seconds a new request with these parts is refused."""
        return self.quarantine.refused_for_s(self.traits(*parts), self.now_s)


class CulpritTest(QuarantineCase):
    # Guards against requests that share a part being told apart by everything else.
    def test_a_part_that_all_crashes_share_is_refused_in_new_requests(self) -> None:
        for number in range(CRASHES_TO_REFUSE_PART):
            self.assertEqual(0.0, self.refused_for_s(FATAL))
            self.crash((f"other-{number}", FATAL))
        self.assertEqual(FIRST_REFUSAL_S, self.refused_for_s(FATAL))
        self.assertEqual(0.0, self.refused_for_s("other-0"))

    def test_sound_requests_in_the_same_batches_and_behind_the_same_part_are_served(self) -> None:
        self.answer("first", "subject")
        for number in range(CRASHES_TO_REFUSE_PART):
            sound = [("first", "subject"), ("first", f"rare-{number}")]
            self.crash(("first", FATAL), *sound * 3)
        self.assertGreater(self.refused_for_s("first", FATAL), 0.0)
        self.assertEqual(0.0, self.refused_for_s("first", "subject"))
        self.assertEqual(0.0, self.refused_for_s("first", "new"))

    def test_a_first_part_without_any_answer_is_explained_by_a_rarer_part(self) -> None:
        for number in range(CRASHES_TO_REFUSE_PART):
            self.crash(("first", FATAL), *[("first", f"subject-{number}")] * 2)
        self.assertGreater(self.refused_for_s("first", FATAL), 0.0)
        self.assertEqual(0.0, self.refused_for_s("first", "new"))

    def test_a_fatal_first_part_is_found_too(self) -> None:
        for number in range(CRASHES_TO_REFUSE_PART):
            self.crash((FATAL, f"subject-{number}"), ("sound", "subject"))
            self.answer("sound", "subject")
        self.assertGreater(self.refused_for_s(FATAL, "subject"), 0.0)
        self.assertEqual(0.0, self.refused_for_s("sound", "subject"))

    def test_a_part_that_was_answered_before_and_then_ends_upstreams_is_found(self) -> None:
        self.answer("first", FATAL)
        self.answer("first", "subject")
        for number in range(CRASHES_TO_REFUSE_ANSWERED_PART):
            self.crash(("first", FATAL), *[("first", f"subject-{number}")] * 3)
        self.assertGreater(self.refused_for_s("first", FATAL), 0.0)
        self.assertEqual(0.0, self.refused_for_s("first", "subject"))

    def test_several_culprits_in_a_row_are_found_each(self) -> None:
        for part in ("bad-1", "bad-2", "bad-3"):
            for number in range(CRASHES_TO_REFUSE_PART):
                self.crash(("first", part), *[("first", f"subject-{number}")] * 3)
            self.answer("first", "subject-0")
            self.now_s += 60.0
        self.assertEqual(
            {"part:bad-1", "part:bad-2", "part:bad-3"},
            {trait for trait, found in self.quarantine.suspects.items() if found.is_refused},
        )

    def test_machines_that_fail_at_once_prove_nothing_about_what_ran_there(self) -> None:
        for number in range(3 * CRASHES_TO_REFUSE_PART):
            self.crash(("first", "subject"), after_s=0.001 * number)
        self.assertEqual(0.0, self.refused_for_s("first", "subject"))

    def test_an_answer_clears_and_a_late_report_of_the_crash_changes_nothing(self) -> None:
        for _ in range(CRASHES_TO_REFUSE_ANSWERED_PART):
            self.crash(("sound",))
        self.assertGreater(self.refused_for_s("sound"), 0.0)
        crashes = list(self.quarantine.suspects["part:sound"].crashes)
        self.answer("sound")
        for crash in crashes:
            self.quarantine.record_crash(self.traits("sound"), crash, self.now_s)
        self.assertEqual(0.0, self.refused_for_s("sound"))

    def test_crashes_of_long_ago_do_not_count(self) -> None:
        for _ in range(3 * CRASHES_TO_REFUSE_PART):
            self.crash(("rare",), after_s=0.6 * EVIDENCE_S)
        self.assertEqual(0.0, self.refused_for_s("rare"))

    @given(
        st.lists(st.lists(st.sampled_from("abcdef"), min_size=1, max_size=4), max_size=8),
        st.sets(st.sampled_from("abcdef")),
    )
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_the_part_in_every_crash_is_refused_and_answered_ones_are_not(
        self, batches: list[list[str]], answered: set[str]
    ) -> None:
        """Compares with the naive rule: the culprit is in all crashes and is never answered."""
        self.setUp()
        for batch in batches:
            self.crash((FATAL,), *[(part,) for part in batch])
        for part in answered:
            self.answer(part)
        expected = len(batches) >= CRASHES_TO_REFUSE_PART
        self.assertEqual(expected, self.refused_for_s(FATAL) > 0.0)
        for part in answered:
            self.assertEqual(0.0, self.refused_for_s(part))


class TrialTest(QuarantineCase):
    def refuse(self, *parts: str) -> None:
        """Let requests with these parts end upstreams until they are refused."""
        for _ in range(CRASHES_TO_REFUSE_PART):
            self.crash(parts)
        self.assertGreater(self.refused_for_s(*parts), 0.0)

    def trials_of_a_day(self, traits: tuple[str, ...]) -> int:
        """Return how often a request with these traits is sent and ends an upstream in a day."""
        trials = 0
        until_s = self.now_s + DAY_S
        while (
            refused_s := self.quarantine.refused_for_s(traits, self.now_s)
        ) + self.now_s < until_s:
            self.now_s += refused_s + 0.001
            self.quarantine.begin_trial(traits, self.now_s)
            trials += 1
            self.now_s += 0.2
            self.quarantine.record_crash(traits, f"trial-{trials}/1", self.now_s)
        return trials

    # Guards against a fatal part or request being let through again and again for good.
    def test_a_fatal_part_is_tried_three_times_in_a_day(self) -> None:
        self.refuse(FATAL)
        self.assertEqual(3, self.trials_of_a_day(self.traits(FATAL)))

    def test_a_fatal_request_is_tried_three_times_in_a_day(self) -> None:
        traits = self.traits()
        for crash in ("i-1/1", "i-2/1"):
            self.quarantine.record_crash(traits, crash, self.now_s)
        self.assertEqual(3, self.trials_of_a_day(traits))

    def test_an_answered_trial_ends_the_refusal(self) -> None:
        self.refuse("sound")
        self.now_s += FIRST_REFUSAL_S
        self.assertEqual(0.0, self.refused_for_s("sound"))
        self.answer("sound")
        self.now_s += 0.1
        self.assertEqual(0.0, self.refused_for_s("sound"))

    def test_one_request_is_tried_at_a_time(self) -> None:
        self.refuse(FATAL)
        self.now_s += FIRST_REFUSAL_S
        self.assertEqual(["part:bad"], self.quarantine.begin_trial(self.traits(FATAL), self.now_s))
        self.assertEqual(TRIAL_S, self.refused_for_s(FATAL))

    # Guards against a process that learned of a refusal late trying once more after a trial.
    def test_a_crash_after_the_trial_of_another_process_counts_as_that_of_the_trial(self) -> None:
        self.refuse(FATAL)
        self.now_s += FIRST_REFUSAL_S - 1.0
        self.quarantine.begin_trial(self.traits(FATAL), self.now_s)
        self.crash((FATAL,))
        self.assertEqual(LATER_REFUSALS_S[0], self.refused_for_s(FATAL))

    def test_a_request_with_two_refused_parts_is_tried_late(self) -> None:
        """Its end would not tell which of them is the culprit, and extend the other's refusal."""
        self.refuse("sound", FATAL)
        self.now_s += FIRST_REFUSAL_S
        self.assertEqual(0.0, self.refused_for_s("sound", "new"))
        self.assertEqual(JOINT_TRIAL_DELAY_S, self.refused_for_s("sound", FATAL))
        self.answer("sound", "new")
        self.assertEqual(0.0, self.refused_for_s("sound", "new"))

    def test_a_process_of_a_later_rank_tries_later(self) -> None:
        self.refuse(FATAL)
        self.quarantine.trial_delay_s = 1.5
        self.assertEqual(FIRST_REFUSAL_S + 1.5, self.refused_for_s(FATAL))


class MergeTest(QuarantineCase):
    def fields(self) -> dict[str, Any]:
        """Return what this quarantine sends to others."""
        return {
            trait: suspect.as_fields(self.now_s)
            for trait, suspect in self.quarantine.suspects.items()
        }

    def test_a_process_that_knows_nothing_refuses_the_same_for_as_long(self) -> None:
        for _ in range(CRASHES_TO_REFUSE_PART):
            self.crash((FATAL,))
        self.now_s += FIRST_REFUSAL_S
        self.crash((FATAL,))
        other = Quarantine(FIRST_REFUSAL_S)
        other.merge(self.fields(), 5.0)
        expected_s = self.refused_for_s(FATAL)
        self.assertGreater(expected_s, FIRST_REFUSAL_S)
        self.assertAlmostEqual(expected_s, other.refused_for_s(["part:bad"], 5.0))

    def test_what_an_answer_cleared_is_not_refused_anew(self) -> None:
        for _ in range(CRASHES_TO_REFUSE_PART):
            self.crash(("sound",))
        stale = self.fields()
        self.answer("sound")
        self.quarantine.merge(stale, self.now_s)
        self.assertEqual(0.0, self.refused_for_s("sound"))
        late = Quarantine(FIRST_REFUSAL_S)
        late.merge(stale, self.now_s)
        late.merge(self.fields(), self.now_s)
        self.assertEqual(0.0, late.refused_for_s(["part:sound"], self.now_s))

    def test_malformed_fields_change_nothing(self) -> None:
        for _ in range(CRASHES_TO_REFUSE_PART):
            self.crash((FATAL,))
        good = self.fields()["part:bad"]
        wrongs: list[Any] = [None, {}, good | {"requests": "x"}, good | {"crashes": {"a": "old"}}]
        for wrong in wrongs:
            with self.subTest(wrong=wrong):
                other = Quarantine(FIRST_REFUSAL_S)
                with self.assertRaises((KeyError, TypeError, ValueError)):
                    other.merge({"part:bad": good, "part:x": wrong}, self.now_s)
                self.assertEqual({}, dict(other.suspects))


class MemoryTest(QuarantineCase):
    def test_ids_that_never_repeat_take_bounded_memory_and_push_out_nothing_refused(self) -> None:
        for _ in range(CRASHES_TO_REFUSE_PART):
            self.crash((FATAL,))
        for number in range(4000):
            self.answer(f"answered-{number}", f"answered-too-{number}")
            self.crash(*[(f"part-{number}-{index}",) for index in range(4)], after_s=0.1)
        for number in range(ANSWERED_MAX):
            self.answer(f"more-{number}")
        self.assertLessEqual(len(self.quarantine.suspects), SUSPECTS_MAX)
        self.assertLessEqual(len(self.quarantine.answered_parts), ANSWERED_MAX)
        self.assertTrue(self.quarantine.suspects["part:bad"].is_refused)

    # Guards against a culprit that is forgotten between two crashes, as many parts run in each.
    def test_long_prompts_push_out_no_part_that_several_crashes_name(self) -> None:
        for crash in range(CRASHES_TO_REFUSE_PART):
            prompts = [
                tuple(f"{crash}-{number}-{index}" for index in range(1000)) for number in range(20)
            ]
            for prompt in prompts:
                self.answer(*prompt)
            self.crash((FATAL,), *((*prompt, "popular") for prompt in prompts))
        self.assertLessEqual(len(self.quarantine.suspects), SUSPECTS_MAX)
        self.assertGreater(self.refused_for_s(FATAL), 0.0)

    def test_a_popular_sound_part_takes_bounded_memory_over_many_crashes(self) -> None:
        for _ in range(10 * CRASHES_PER_SUSPECT_MAX):
            self.crash(("popular",), after_s=30.0)
            self.answer("popular")
        suspect = self.quarantine.suspects["part:popular"]
        self.assertLessEqual(len(suspect.cleared), CRASHES_PER_SUSPECT_MAX)


class SimulatedFleetTest(unittest.TestCase):
    # Guards against fatal parts in a row ending the engines, and against refusing sound requests.
    def test_fatal_parts_in_a_row_are_refused_and_sound_requests_served(self) -> None:
        for load in (Load(), Load(fatal_per_s=0.5), Load(subjects=5), Load(sound_per_s=10.0)):
            for seed in (1, 2):
                with self.subTest(load=load, seed=seed):
                    simulation = CrashSimulation(seed, load=load)
                    simulation.start()
                    simulation.run(5.0)
                    for number in range(3):
                        self.assert_contained(simulation, f"bad-{number}")

    # Guards against engines that end for good, as the fatal part stands behind many others.
    def test_a_fatal_part_at_any_place_of_a_long_prompt_is_refused(self) -> None:
        for shared, before in ((15, 15), (16, 16), (19, 17), (60, 0), (60, 60), (200, 150)):
            with self.subTest(shared=shared, before=before):
                load = Load(20.0, 1.0, shared_parts=shared, parts_before=before)
                simulation = CrashSimulation(3, entries=4, engines=6, load=load)
                simulation.start()
                simulation.run(3.0)
                self.assert_contained(simulation, "bad-0")

    def assert_contained(self, simulation: CrashSimulation, part: str) -> None:
        """Send requests with the part for a time; assert that few end engines and others begin."""
        began_s = simulation.now_s
        simulation.fatal_part = part
        simulation.run(began_s + 30.0)
        self.assertLessEqual(simulation.late_requests(part, STABLE_S), LATE_MAX)
        counted_s = began_s + 2 * STABLE_S + 2.0
        for first_part in ("", "first-0"):
            share = simulation.served_share(counted_s, simulation.now_s, first_part)
            self.assertGreater(share, 0.5)


if __name__ == "__main__":
    unittest.main()

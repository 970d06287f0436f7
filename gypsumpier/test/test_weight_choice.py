"""Differential tests of chunk selection and the import plan, and properties of the plan."""

import unittest
from random import Random

from blake3 import blake3
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.weight.choice import choose
from gypsumpier.weight.message import bits_of, indexes_of
from gypsumpier.weight.plan import STORE, ImportPlan, takeover_s
from gypsumpier.weight.rank import slot_ranks

CHUNKS = 24
names = st.lists(st.text("abcdef", min_size=1, max_size=3), min_size=1, max_size=9, unique=True)
offers_by_peer = st.dictionaries(
    st.sampled_from("pqrstu"), st.sets(st.integers(0, CHUNKS - 1), max_size=10), max_size=6
)
fleets = st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 4), min_size=1, max_size=6)
bounded = settings(derandomize=True, deadline=None, max_examples=150)


def naive_choices(
    offers: dict[str, set[int]], busy: dict[str, int], counts: list[int]
) -> set[tuple[int, str]]:
    """Return every allowed choice, found by comparing all pairs of a chunk and a peer."""
    pairs = [(chunk, peer) for peer, chunks in offers.items() for chunk in chunks]
    return {
        (chunk, peer)
        for chunk, peer in pairs
        if not any(counts[other] < counts[chunk] for other, _ in pairs)
        and not any(same == chunk and busy[other] < busy[peer] for same, other in pairs)
    }


def naive_slot_ranks(key: str, members: list[str], slots: int) -> list[list[str]]:
    """Return the names in rank order for each slot, by repeated search for the least score."""
    used: list[str] = []
    result = []
    for slot in range(slots):
        scores = {name: blake3(f"{key}/{slot}\0{name}".encode()).digest(8) for name in members}
        left = sorted(members, key=lambda name, known=scores: (known[name], name))  # type: ignore
        if set(members) <= set(used):
            used = []
        best = [name for name in left if name not in used][0]
        used.append(best)
        result.append([best] + [name for name in left if name != best])
    return result


def members_of(regions: dict[str, int]) -> list[Member]:
    """Return the agents of a fleet with that many agents in each region."""
    return [
        Member(f"s/{r}/{n}", "i", "agent", "s", r, f"{r}-a", "127.0.0.1", 1, 2, False)
        for r, count in regions.items()
        for n in range(count)
    ]


def plans_of(regions: dict[str, int], store_region: str, slots: int) -> dict[str, ImportPlan]:
    """Return the plan as every agent of the fleet computes it."""
    members = members_of(regions)
    plans = {}
    for member in members:
        options = Options(name=member.name, region=member.region, store_region=store_region)
        options.importers = slots
        options.link_importers = slots
        plans[member.name] = ImportPlan(options, "layout", members)
    return plans


class ChoiceTest(unittest.TestCase):
    @given(offers_by_peer, st.data(), st.integers(0, 99))
    @bounded
    def test_choice_is_among_those_of_the_naive_version(
        self, offers: dict[str, set[int]], data: st.DataObject, seed: int
    ) -> None:
        busy = {peer: data.draw(st.integers(0, 3)) for peer in offers}
        counts = data.draw(st.lists(st.integers(0, 5), min_size=CHUNKS, max_size=CHUNKS))
        allowed = naive_choices(offers, busy, counts)
        chosen = choose(offers, busy, counts, Random(seed))
        if chosen is None:
            self.assertEqual(set(), allowed)
        else:
            self.assertIn(tuple(chosen), allowed)

    @given(st.sets(st.integers(0, 99)))
    @bounded
    def test_bit_fields_keep_every_index(self, indexes: set[int]) -> None:
        self.assertEqual(indexes, indexes_of(bits_of(indexes, 100)))


class PlanTest(unittest.TestCase):
    @given(st.text(max_size=4), names, st.integers(1, 6))
    @bounded
    def test_ranks_agree_with_the_naive_version(
        self, key: str, members: list[str], slots: int
    ) -> None:
        expected = naive_slot_ranks(key, members, slots)
        self.assertEqual(expected, slot_ranks(key, list(members), slots))
        self.assertEqual(expected, slot_ranks(key, sorted(members), slots))

    @given(fleets, st.sampled_from("abcdefx"), st.integers(1, 3))
    @bounded
    def test_each_chunk_has_one_first_importer_and_a_path_to_every_region(
        self, regions: dict[str, int], store_region: str, slots: int
    ) -> None:
        plans = plans_of(regions, store_region, slots)
        root = {plan.root for plan in plans.values()}
        self.assertEqual(1, len(root))
        for index in range(CHUNKS):
            sources = {}
            for region in regions:
                here = [p for p in plans.values() if p.options.region == region]
                sources[region] = here[0].source(index)
                ranks = [plan.rank(index, plan.source(index)) for plan in here]
                self.assertEqual(list(range(len(here))), sorted(ranks))
            for region in regions:
                hops = 0
                while sources[region] != STORE:
                    region = sources[region]
                    hops += 1
                self.assertLessEqual(hops, 2)
                self.assertEqual(root, {region})

    @given(st.integers(2, 6))
    @bounded
    def test_every_link_into_a_region_carries_an_equal_part(self, count: int) -> None:
        regions = {region: 1 for region in "abcdef"[:count]}
        chunks = range(60 * (count - 1))
        for plan in plans_of(regions, "a", 1).values():
            if plan.root == plan.options.region:
                continue
            carried = [plan.source(index) for index in chunks]
            parts = {carried.count(source) for source in set(carried)}
            self.assertEqual((count - 1, {60}), (len(set(carried)), parts))

    def test_later_ranks_wait_longer(self) -> None:
        waits = [takeover_s(rank, 3.0) for rank in range(10)]
        self.assertEqual(0.0, waits[0])
        self.assertEqual(waits, sorted(set(waits)))

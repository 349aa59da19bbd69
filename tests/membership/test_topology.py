"""Which daemons are hubs, and how many links each daemon has."""

import pytest

from chestnutshunt.membership import fleet_member
from chestnutshunt.membership import topology

DATACENTRES = ('m-a', 'm-b', 'm-c', 'e-a', 'e-b', 'e-c')


def make_members(count, datacentres=DATACENTRES):
    return [
        fleet_member.FleetMember(
            f'd{number}',
            f'd{number}:1',
            datacentres[number % len(datacentres)],
            2.1 if number < 18 else 0.5,
        )
        for number in range(count)
    ]


def plan_all(members, unusable=frozenset()):
    return {
        own.name: topology.plan_topology(
            members, own, lambda name: name not in unusable
        )
        for own in members
        if own.name not in unusable
    }


def test_a_small_fleet_is_a_full_mesh():
    plans = plan_all(make_members(12))
    assert all(plan.is_hub and len(plan.hubs) == 11 for plan in plans.values())


@pytest.mark.parametrize(
    ('count', 'datacentre_count', 'most'), [(165, 6, 23), (340, 13, 51)]
)
def test_links_do_not_grow_with_the_fleet(count, datacentre_count, most):
    """Hundreds of VMs, of which each had a link to every other one."""
    names = [f'dc{number}' for number in range(datacentre_count)]
    plans = plan_all(make_members(count, names))
    leaves = [plan for plan in plans.values() if not plan.is_hub]
    hubs = [plan for plan in plans.values() if plan.is_hub]
    assert all(len(plan.hubs) <= 3 for plan in leaves)
    assert all(len(plan.hubs) <= most for plan in hubs)
    assert len(leaves) >= count - most - 1


def test_hubs_run_on_the_largest_vms():
    members = make_members(165)
    large = {member.name for member in members if member.capacity > 1}
    hubs = {name for name, plan in plan_all(members).items() if plan.is_hub}
    assert hubs <= large


def test_all_agree_on_the_hubs():
    plans = plan_all(make_members(165))
    hubs = {name for name, plan in plans.items() if plan.is_hub}
    for name, plan in plans.items():
        if plan.is_hub:
            assert set(plan.hubs) == hubs - {name}
        else:
            assert set(plan.hubs) <= hubs


def test_the_next_daemon_takes_the_place_of_a_lost_hub():
    members = make_members(165)
    before = plan_all(members)
    lost = next(name for name, plan in before.items() if plan.is_hub)
    after = plan_all(members, {lost})
    hubs_before = {name for name, plan in before.items() if plan.is_hub}
    hubs_after = {name for name, plan in after.items() if plan.is_hub}
    assert hubs_before - {lost} < hubs_after
    assert len(hubs_after) == len(hubs_before)
    assert all(lost in plan.unusable for plan in after.values() if plan.is_hub)


def test_a_daemon_cut_off_from_all_others_is_its_own_hub():
    members = make_members(165)
    own = members[100]
    plan = topology.plan_topology(members, own, lambda name: name == own.name)
    assert plan.is_hub
    assert not plan.hubs

from chestnutshunt_standins import cluster


def test_runs_listen_on_addresses_of_their_own():
    hosts = [cluster.loopback_host(pid) for pid in range(1, 70_000)]
    assert len(set(hosts)) == len(hosts)
    assert all(host.startswith('127.') for host in hosts)


def test_a_port_is_handed_out_once():
    addresses = [cluster.free_address() for _ in range(50)]
    assert len(set(addresses)) == 50
    assert all(address.startswith(f'{cluster.HOST}:') for address in addresses)

"""Registrations that another writer has left among those of targets.

They name no target; the others hold, at every daemon.
"""

import json

import pytest

from chestnutshunt.store import stored_object
from chestnutshunt.store import tolerant_json
from chestnutshunt_daemon.peers import fleet_codec
from chestnutshunt_daemon.peers import heartbeat
from chestnutshunt_platform import replica_form
from chestnutshunt_platform import store_client
from tests import fake_target
from tests import fleet_parts

SOUND = {
    'service': 's',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'born': 1,
    'version': 'v1',
}


def entry(name, spec_text):
    metadata = json.dumps({'name': name, 'revision': 7})
    return f'{{"metadata":{metadata},"spec":{spec_text}}}'


def with_field(name, text):
    fields = {key: json.dumps(value) for key, value in SOUND.items()}
    fields[name] = text
    inner = ','.join(f'"{key}":{value}' for key, value in fields.items())
    return f'{{{inner}}}'


def nested(depth, opening='[', closing=']', inside=''):
    return opening * depth + inside + closing * depth


# Specs of which no target can be made.
UNUSABLE = {
    'no object': '[]',
    'nested service': with_field('service', nested(100_000)),
    'nested slots': with_field('slots', nested(900)),
    'huge slots': with_field('slots', '1' + '0' * 400),
    'slots of 5,000 digits': with_field('slots', '1' * 5000),
    'slots without bound': with_field('slots', '1e999'),
    'negative slots': with_field('slots', '-1'),
    'huge start': with_field('born', str(2**64)),
    'port out of range': with_field('address', '"127.0.0.1:65536"'),
    'port of 5,000 digits': with_field(
        'address', '"127.0.0.1:' + '1' * 5000 + '"'
    ),
    'no port': with_field('address', '"127.0.0.1"'),
    'host name': with_field('address', '"target.example:80"'),
    'line break in service': with_field('service', '"a\\r\\nb"'),
    'half a character': with_field('version', '"\\ud800"'),
    'long service': with_field('service', '"' + 'x' * 5000 + '"'),
    'huge version of weights': with_field(
        'models', f'[{{"name":"m","version":{2**70}}}]'
    ),
    'number for state': with_field('state', '1'),
}

# Fields that are not read do no harm.
USABLE = {
    'nested extra field': with_field('other', nested(100_000)),
    'nested objects': with_field('other', nested(5000, '{"a":', '}', '1')),
    'brackets in a text': with_field('other', json.dumps('[{"' * 5000)),
    'bytes that are no text': with_field('other', '"\udcff"'),
}


@pytest.fixture
def list_targets():
    servers = []

    def listed(*entries):
        text = f'{{"items":[{",".join(entries)}],'
        body = (text + '"hasMore":false,"currentRev":9}').encode(
            'utf-8', 'surrogateescape'
        )

        def step(connection, fields):
            fields = {'x-request-id': ''}
            fake_target.respond(200, body)(connection, fields)

        servers.append(fake_target.FakeTarget('store', step))
        client = store_client.StoreClient(servers[-1].address)
        return client.list_kind('servers').unwrap()

    yield listed
    for server in servers:
        server.close()


# Guards against LOST: daemons stopped following the list of targets.
@pytest.mark.parametrize('kind', UNUSABLE | USABLE)
def test_odd_registration_does_not_hide_the_others(list_targets, kind):
    spec = (UNUSABLE | USABLE)[kind]
    listing = list_targets(
        entry('t1', json.dumps(SOUND)),
        entry('odd', spec),
        entry('t2', json.dumps(SOUND)),
    )
    state = fleet_parts.make_state()
    state.mirrors['servers'].apply_listing(
        listing.revision, listing.objects, state.clock.monotonic()
    )
    expected = {'t1', 't2'} | ({'odd'} if kind in USABLE else set())
    assert state.replicas.replicas.keys() == expected
    # Peers get the list from this daemon.
    passed_on = fleet_codec.decode_objects(
        fleet_codec.encode_objects(list(listing.objects))
    )
    assert [x.name for x in passed_on] == ['t1', 'odd', 't2']
    for target in state.replicas.replicas.values():
        state.replicas.begin_request(target)
    state.replicas.choose('s')
    heartbeat.make_heartbeat(state, True).SerializeToString()


@pytest.mark.parametrize(
    'name', ['a\r\nX-Other: 1', '\ud800', 'x' * 5000, 'schön']
)
def test_odd_name_of_a_registration(name):
    stored = stored_object.StoredObject('servers', name, 1, SOUND)
    assert replica_form.decode(stored) is None


@pytest.mark.parametrize('depth', [1, 63, 64, 65, 900])
def test_nesting_is_kept_up_to_a_depth(depth):
    value = tolerant_json.loads(nested(depth, inside='1').encode())
    levels = 0
    while isinstance(value, list):
        levels, value = levels + 1, value[0]
    assert levels == min(depth, tolerant_json.MAX_DEPTH)
    assert value == (1 if depth == levels else None)


def test_document_that_is_no_json():
    with pytest.raises(ValueError):
        tolerant_json.loads(b'{"a": [1}')

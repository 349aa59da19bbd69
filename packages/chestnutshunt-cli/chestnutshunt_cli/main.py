"""Command line for operators."""

import json
import sys
from typing import Annotated
from typing import Any

import attrs
import cyclopts
import urllib3

from chestnutshunt.config import editor
from chestnutshunt.config import schema
from chestnutshunt import errors
from chestnutshunt.store import adapter
from chestnutshunt.store import object_store
from chestnutshunt_cli import changes
from chestnutshunt_cli import exit_codes
from chestnutshunt_cli import load as load_module
from chestnutshunt_cli import operations
from chestnutshunt_cli import values

__all__ = ['app', 'main']

PROGRESS_STEP = 500
CALL_TIMEOUT = 60.0

app = cyclopts.App(
    name='chestnutshunt',
    help=(
        'Edit the tree of settings and look at what runs. Exit codes: 0 done, '
        '1 failed, 2 refused, 3 conflict, 4 unreachable, 5 different.'
    ),
    version_flags=[],
)
key_app = cyclopts.App(name='key', help='Create and withdraw keys.')
app.command(key_app)

Platform = Annotated[
    str,
    cyclopts.Parameter(
        name='--platform',
        env_var='CHESTNUTSHUNT_PLATFORM',
        help="Base address of the platform's store.",
    ),
]
AsJson = Annotated[bool, cyclopts.Parameter(name='--json', help='Print JSON.')]


def emit(value: Any, as_json: bool, lines: list[str]) -> None:
    """Print a value as JSON, or its lines."""
    if as_json:
        print(json.dumps(value, default=list))
        return
    for line in lines:
        print(line)


@app.command
def show(
    path: str = '', *, platform: Platform, as_json: AsJson = False
) -> None:
    """Show a node's settings and where each is inherited from.

    Parameters
    ----------
    path : str
        Node, such as services/model; the root by default.
    """
    found = operations.show(adapter.connect(platform).store, path)
    fields = schema.allowed_fields(path)
    lines = []
    for name, item in sorted(found.items()):
        unit = fields[name].metadata['unit']
        source = item.path or '/'
        text = f'{name} = {item.value!r} {unit}'.rstrip()
        lines.append(f'{text:50} # {source}: {fields[name].metadata["help"]}')
    value = {name: attrs.asdict(item) for name, item in found.items()}
    emit(value, as_json, lines)


@app.command(name='list')
def list_nodes(*, platform: Platform, as_json: AsJson = False) -> None:
    """List the nodes of the tree and what each overrides."""
    held = editor.Editor(adapter.connect(platform).store).read()
    hidden = ('salt', 'digest')
    shown = {
        path: {k: v for k, v in item.values.items() if k not in hidden}
        for path, item in sorted(held.nodes.items())
    }
    lines = [f'{path or "/"}  {table}' for path, table in shown.items()]
    emit(shown, as_json, lines)


@app.command(name='set')
def set_values(path: str, *assignments: str, platform: Platform) -> None:
    """Set settings of a node, which is created if it is missing.

    Parameters
    ----------
    path : str
        Node, "/" for the root.
    assignments : str
        NAME=VALUE, the value as in TOML.
    """
    path = path.strip('/')
    table = dict(values.parse_assignment(path, x) for x in assignments)
    made = editor.Editor(adapter.connect(platform).store).set(path, table)
    print(f'{made.path or "/"} is at version {made.version}')


@app.command
def unset(path: str, *names: str, platform: Platform) -> None:
    """Let a node inherit some settings again."""
    tool = editor.Editor(adapter.connect(platform).store)
    made = tool.unset(path.strip('/'), list(names))
    print(f'{made.path or "/"} is at version {made.version}')


@app.command
def remove(path: str, *, platform: Platform) -> None:
    """Remove a node that no other refers to."""
    editor.Editor(adapter.connect(platform).store).remove(path.strip('/'))
    print(f'{path} is removed')


@app.command
def diff(file: str, *, platform: Platform, as_json: AsJson = False) -> None:
    """Show what a TOML file of nodes would change; exit code 5 if anything."""
    held = editor.Editor(adapter.connect(platform).store).read()
    found = changes.find_changes(held, values.read_tree_file(file))
    emit(
        [attrs.asdict(item) for item in found],
        as_json,
        [item.render() for item in found],
    )
    if found:
        sys.exit(exit_codes.ExitCode.DIFFERENT)


@app.command
def apply(file: str, *, platform: Platform) -> None:
    """Make the nodes that a TOML file names equal to it."""
    wanted = values.read_tree_file(file)
    found = operations.apply_nodes(adapter.connect(platform).store, wanted)
    for item in found:
        print(item.render())
    print(f'{len(found)} settings changed')


@key_app.command(name='create')
def create_key(workspace: str, *, platform: Platform) -> None:
    """Create a key and print it; it is shown only this once."""
    token = operations.create_key(adapter.connect(platform).store, workspace)
    print(token)


@key_app.command(name='withdraw')
def withdraw_key(workspace: str, key_id: str, *, platform: Platform) -> None:
    """Withdraw a key by its id, the part between the dots."""
    operations.withdraw_key(adapter.connect(platform).store, workspace, key_id)
    print(f'{workspace}/{key_id} is withdrawn')


@app.command
def gone(name: str, *, platform: Platform) -> None:
    """Mark the VM of a daemon as gone, so that nothing waits for it.

    Parameters
    ----------
    name : str
        Name of the daemon that ran there.
    """
    operations.mark_gone(adapter.connect(platform).store, name)
    print(f'{name} is marked as gone')


@app.command
def status(
    what: str = 'daemons', *, platform: Platform, as_json: AsJson = False
) -> None:
    """Show daemons, targets, leases or runs.

    Parameters
    ----------
    what : str
        One of daemons, targets, leases, runs.
    """
    store = adapter.connect(platform).store
    if what in operations.STATUS_KINDS:
        held = operations.list_objects(store, operations.STATUS_KINDS[what])
        rows = {item.name: item.value for item in held}
    elif what == 'daemons':
        rows = {m.name: daemon_row(m) for m in operations.list_members(store)}
    elif what == 'runs':
        rows = run_rows(store)
    else:
        raise errors.BadRequest(
            f'There is no status of {what!r}.',
            'Ask for daemons, targets, leases or runs.',
        )
    emit(rows, as_json, [f'{name}  {row}' for name, row in rows.items()])


def daemon_row(member: operations.member.Member) -> dict[str, Any]:
    """Return what a daemon says of itself, or that it is silent."""
    row = {'datacentre': member.datacentre, 'admin': member.admin_address}
    try:
        state = fetch_dump(member.admin_address)
    except errors.PlatformUnavailable:
        return {**row, 'state': 'silent'}
    return {
        **row,
        'state': 'draining' if state['draining'] else 'running',
        'revision': state['config']['revision'],
        'refused_nodes': state['config']['refused'],
        'in_flight': state['in_flight'],
        'live_peers': sum(peer['live'] for peer in state['peers']),
    }


def run_rows(store: object_store.ObjectStore) -> dict[str, Any]:
    """Return the runs with the daemon that coordinates each."""
    rows: dict[str, Any] = {
        name: {'coordinator': None}
        for name in editor.Editor(store).read().names('runs')
    }
    for member in operations.list_members(store):
        try:
            state = fetch_dump(member.admin_address)
        except errors.PlatformUnavailable:
            continue
        for run, row in state['coordinates'].items():
            rows[run] = {'coordinator': member.name, **row}
    return rows


def fetch_dump(address: str) -> dict[str, Any]:
    """Return the state of the daemon at an admin address."""
    try:
        answer = urllib3.request(
            'GET', f'http://{address}/dump', timeout=3.0, retries=False
        )
        return answer.json()
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        raise errors.PlatformUnavailable(
            f'{address} does not answer.', 'Check the admin address.'
        ) from exc


@app.command
def dump(address: str) -> None:
    """Print the state of the daemon at an admin address as JSON."""
    print(json.dumps(fetch_dump(address), indent=1))


@app.command
def send(
    url: str, *, key: str = '', body: str = '', identity: str = ''
) -> None:
    """Send one request and print its answer.

    Parameters
    ----------
    url : str
        Such as http://10.0.0.5:7000/s/model/v1/generate.
    key : str
        Key of a workspace.
    body : str
        Body of the request.
    identity : str
        Idempotency-Key; the same one may be sent again without harm.
    """
    answer = urllib3.request(
        'POST',
        url,
        body=body,
        headers=request_headers(key, identity),
        timeout=CALL_TIMEOUT,
        retries=False,
    )
    print(answer.data.decode('utf-8', 'replace'), end='')
    if answer.status >= 400:
        sys.exit(exit_codes.ExitCode.REFUSED)


@app.command
def load(
    url: str,
    *,
    key: str = '',
    body: str = '{}',
    callers: int = 8,
    requests: int = 1000,
    as_json: AsJson = False,
) -> None:
    """Run a bounded load and print latencies in ms and outcomes.

    Parameters
    ----------
    url : str
        Where to send the requests.
    key : str
        Key of a workspace.
    body : str
        Body; {n} becomes the number of the request.
    callers : int
        Requests at one time, at most 256.
    requests : int
        Requests in all, at most 100,000.
    """

    def progress(count: int) -> None:
        if count % PROGRESS_STEP == 0:
            print(f'{count} of {requests}', file=sys.stderr)

    headers = request_headers(key, '')
    report = load_module.run_load(
        url, body, headers, callers, requests, progress
    )
    rows = report.rows()
    emit(rows, as_json, [f'{name:24}{row:>12}' for name, row in rows.items()])


def request_headers(key: str, identity: str) -> dict[str, str]:
    """Return the headers of a request."""
    headers = {'Content-Type': 'application/json'}
    if key:
        headers['Authorization'] = f'Bearer {key}'
    if identity:
        headers['Idempotency-Key'] = identity
    return headers


def main() -> None:
    """Run the command that the arguments name."""
    try:
        app()
    except (errors.ChestnutshuntError, urllib3.exceptions.HTTPError) as exc:
        print(f'chestnutshunt: {exc}', file=sys.stderr)
        sys.exit(exit_codes.exit_code_of(exc))


if __name__ == '__main__':
    main()

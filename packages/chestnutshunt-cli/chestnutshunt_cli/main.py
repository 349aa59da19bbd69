"""Commands of the operators' command line."""

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

PROGRESS_INTERVAL_COUNT = 500
REQUEST_TIMEOUT_S = 60.0
DUMP_TIMEOUT_S = 3.0
MIN_ERROR_STATUS = 400

app = cyclopts.App(
    name='chestnutshunt',
    help=(
        'Edit the settings tree and inspect daemons. Exit codes: 0 done, '
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
    """Print a value as JSON, or its rendering as lines of text."""
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
    origins = operations.show(adapter.connect(platform).store, path)
    fields = schema.allowed_fields(path)
    lines = []
    for name, item in sorted(origins.items()):
        unit = fields[name].metadata['unit']
        source = item.path or '/'
        text = f'{name} = {item.value!r} {unit}'.rstrip()
        lines.append(f'{text:50} # {source}: {fields[name].metadata["help"]}')
    value = {name: attrs.asdict(item) for name, item in origins.items()}
    emit(value, as_json, lines)


@app.command(name='list')
def list_nodes(*, platform: Platform, as_json: AsJson = False) -> None:
    """List the nodes of the tree and the settings that each overrides."""
    stored_tree = editor.Editor(adapter.connect(platform).store).read()
    hidden = ('salt', 'digest')
    overrides = {
        path: {k: v for k, v in item.values.items() if k not in hidden}
        for path, item in sorted(stored_tree.nodes.items())
    }
    lines = [f'{path or "/"}  {table}' for path, table in overrides.items()]
    emit(overrides, as_json, lines)


@app.command(name='set')
def set_values(path: str, *assignments: str, platform: Platform) -> None:
    """Set settings of a node; create the node if it does not exist.

    Parameters
    ----------
    path : str
        Node, "/" for the root.
    assignments : str
        NAME=VALUE, the value as in TOML.
    """
    path = path.strip('/')
    table = dict(values.parse_assignment(path, x) for x in assignments)
    written = editor.Editor(adapter.connect(platform).store).set(path, table)
    print(f'{written.path or "/"} is at version {written.version}')


@app.command
def unset(path: str, *names: str, platform: Platform) -> None:
    """Remove settings from a node, so that it inherits them again."""
    tree_editor = editor.Editor(adapter.connect(platform).store)
    written = tree_editor.unset(path.strip('/'), list(names))
    print(f'{written.path or "/"} is at version {written.version}')


@app.command
def remove(path: str, *, platform: Platform) -> None:
    """Remove a node that no other node refers to."""
    editor.Editor(adapter.connect(platform).store).remove(path.strip('/'))
    print(f'{path} is removed')


@app.command
def diff(file: str, *, platform: Platform, as_json: AsJson = False) -> None:
    """Show what applying a TOML file would change; exit code 5 on changes."""
    stored_tree = editor.Editor(adapter.connect(platform).store).read()
    differences = changes.find_changes(
        stored_tree, values.read_tree_file(file)
    )
    emit(
        [attrs.asdict(item) for item in differences],
        as_json,
        [item.render() for item in differences],
    )
    if differences:
        sys.exit(exit_codes.ExitCode.DIFFERENT)


@app.command
def apply(file: str, *, platform: Platform) -> None:
    """Replace the nodes that a TOML file names with those of the file."""
    desired = values.read_tree_file(file)
    differences = operations.apply_nodes(
        adapter.connect(platform).store, desired
    )
    for item in differences:
        print(item.render())
    print(f'{len(differences)} settings changed')


@key_app.command(name='create')
def create_key(workspace: str, *, platform: Platform) -> None:
    """Create a key and print its token, which cannot be shown again."""
    token = operations.create_key(adapter.connect(platform).store, workspace)
    print(token)


@key_app.command(name='withdraw')
def withdraw_key(workspace: str, key_id: str, *, platform: Platform) -> None:
    """Withdraw a key by its id, the part of the token between the dots."""
    operations.withdraw_key(adapter.connect(platform).store, workspace, key_id)
    print(f'{workspace}/{key_id} is withdrawn')


@app.command
def gone(name: str, *, platform: Platform) -> None:
    """Mark the VM of a daemon as gone, so that nothing waits for it.

    Parameters
    ----------
    name : str
        Name of the daemon that ran on the VM.
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
        objects = operations.list_objects(store, operations.STATUS_KINDS[what])
        rows = {stored.name: stored.value for stored in objects}
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
    """Return the status that a daemon reports, or that it is silent."""
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
    """Return the runs, each with the daemon that coordinates it.

    A run that no reachable daemon coordinates has the coordinator ``None``.
    """
    rows: dict[str, Any] = {
        name: {'coordinator': None}
        for name in editor.Editor(store).read().leaf_names('runs')
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
    """Return the state dump of the daemon at an admin address.

    Raises
    ------
    PlatformUnavailable
        The daemon does not answer, or not with JSON.
    """
    try:
        response = urllib3.request(
            'GET',
            f'http://{address}/dump',
            timeout=DUMP_TIMEOUT_S,
            retries=False,
        )
        return response.json()
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        raise errors.PlatformUnavailable(
            f'{address} does not answer.', 'Check the admin address.'
        ) from exc


@app.command
def dump(address: str) -> None:
    """Print the state dump of the daemon at an admin address as JSON."""
    print(json.dumps(fetch_dump(address), indent=1))


@app.command
def send(
    url: str, *, key: str = '', body: str = '', identity: str = ''
) -> None:
    """Send one POST request and print the response body.

    Parameters
    ----------
    url : str
        URL, such as http://10.0.0.5:7000/s/model/v1/generate.
    key : str
        Key of a workspace.
    body : str
        Body of the request.
    identity : str
        Idempotency-Key; a request may safely be repeated under the
        same one.
    """
    response = urllib3.request(
        'POST',
        url,
        body=body,
        headers=request_headers(key, identity),
        timeout=REQUEST_TIMEOUT_S,
        retries=False,
    )
    print(response.data.decode('utf-8', 'replace'), end='')
    if response.status >= MIN_ERROR_STATUS:
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
    """Run a bounded load test and print latencies in ms and outcomes.

    Parameters
    ----------
    url : str
        URL that receives the requests.
    key : str
        Key of a workspace.
    body : str
        Body; {n} becomes the number of the request.
    callers : int
        Number of concurrent requests, at most 256.
    requests : int
        Total number of requests, at most 100,000.
    """

    def progress(count: int) -> None:
        if count % PROGRESS_INTERVAL_COUNT == 0:
            print(f'{count} of {requests}', file=sys.stderr)

    headers = request_headers(key, '')
    report = load_module.run_load(
        url, body, headers, callers, requests, progress
    )
    rows = report.rows()
    emit(rows, as_json, [f'{name:24}{row:>12}' for name, row in rows.items()])


def request_headers(key: str, identity: str) -> dict[str, str]:
    """Return the headers of a request; empty values are left out."""
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

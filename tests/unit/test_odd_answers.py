"""Answers of the store of which a part is malformed."""

import pytest

from fescuestile_platform import http
from fescuestile_platform import store

SOUND = {"meta": {"name": "a", "revision": 3}, "spec": {"zone": "a"}}
ODD_OBJECTS = [
    7,
    None,
    {},
    {"meta": {"name": "b"}, "spec": {}},
    {"meta": {"name": "", "revision": 1}},
    {"meta": {"name": 7, "revision": 1}},
    {"meta": {"name": "b", "revision": "1"}},
    {"meta": {"name": "b", "revision": True}},
    {"meta": {"name": "b", "revision": -1}},
]
ODD_EVENTS = [
    7,
    None,
    {},
    {"deleted": True},
    {"object": SOUND, "deleted": "true"},
    *({"object": each, "deleted": False} for each in ODD_OBJECTS),
]


class FakeClient(http.HttpClient):
    """Answers each call with the same body.

    :ivar paths: paths of the calls
    """

    def __init__(self, body):
        super().__init__("127.0.0.1:1")
        self._body = body
        self.paths: list[str] = []

    async def call(self, method, path, timeout, body=None, headers=None):
        self.paths.append(path)
        return http.Response(200, self._body)


def name_case(value):
    return str(value)[:40]


@pytest.mark.parametrize("odd", ODD_OBJECTS, ids=name_case)
async def test_a_listing_says_that_an_object_has_no_name(odd):
    """Guards against an object that is taken as gone and still exists."""
    body = {"items": [odd, SOUND], "as_of": 7}
    client = store.StoreClient(FakeClient(body))
    listing = await client.list_all("servers")
    assert (list(listing.objects), listing.is_partial) == (["a"], True)


@pytest.mark.parametrize("odd", ODD_EVENTS, ids=name_case)
async def test_an_odd_event_leaves_the_others(odd):
    """Guards against a watch that one event stops."""
    body = {"events": [odd, {"object": SOUND}], "as_of": 7}
    client = store.StoreClient(FakeClient(body))
    changes = await client.watch("servers", 1, 1.0)
    assert changes is not None
    assert [stored.name for stored, _ in changes.events] == ["a"]
    assert changes.is_partial


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("i-7f3a", "i-7f3a"),
        ("a/b?c", "a%2Fb%3Fc"),
        ("a b\r\nX: y", "a%20b%0D%0AX%3A%20y"),
    ],
)
async def test_a_name_stays_within_its_path(name, expected):
    """Guards against a name of another writer that is a call of its own."""
    client = FakeClient(SOUND)
    await store.StoreClient(client).read("servers", name)
    await store.StoreClient(client).replace("servers", name, {}, 3)
    assert client.paths == [f"/v1/objects/servers/{expected}"] * 2

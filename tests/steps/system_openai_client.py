"""Steps for an unmodified OpenAI client with real processes."""

import pathlib

import behave
import openai

from standins import cluster as clusters
from standins import shapes
from standins import topology as topologies

DIRECTORY = pathlib.Path('run/features/openai')
MODEL = 'shop-assistant'


def _client(context, key):
    address = context.cluster.link(topologies.CALLERS, context.vm)
    return openai.OpenAI(
        api_key=key, base_url=f'http://{address}/v1', max_retries=0
    )


@behave.given('a small deployment and an OpenAI client of an account')
def given_client(context):
    shape = shapes.minimal(shapes.shape_of('nadroga'))
    context.cluster = clusters.Cluster(shape, DIRECTORY, seed=1)
    context.add_cleanup(context.cluster.close)
    context.cluster.start()
    context.cluster.wait_ready()
    context.vm = next(iter(context.cluster.daemons))
    key = next(iter(context.cluster.account_keys.values()))
    context.client = _client(context, key)


def _indexes(text):
    return [int(word.split('-')[2]) for word in text.split()]


@behave.then('it streams a completion of {count:d} tokens in order')
def streams(context, count):
    chunks = context.client.completions.create(
        model=MODEL, prompt=f'tokens={count}', stream=True
    )
    texts = [chunk.choices[0].text for chunk in chunks]
    assert len(texts) == count, texts
    assert _indexes(''.join(texts)) == list(range(count))


@behave.then('it gets an unstreamed chat answer of {count:d} tokens')
def answers_chat(context, count):
    message = {'role': 'user', 'content': f'tokens={count}'}
    answer = context.client.chat.completions.create(
        model=MODEL, messages=[message]
    )
    text = answer.choices[0].message.content
    assert _indexes(text) == list(range(count))
    assert answer.usage.completion_tokens == count


@behave.then('it lists the model "{name}"')
def lists_models(context, name):
    models = [model.id for model in context.client.models.list()]
    assert models == [name], models


@behave.then("a wrong key raises the client's authentication error")
def wrong_key(context):
    try:
        _client(context, 'wrong').models.list()
    except openai.AuthenticationError:
        return
    raise AssertionError('the wrong key was accepted')


@behave.then("an unknown model raises the client's not-found error")
def unknown_model(context):
    try:
        context.client.completions.create(model='none', prompt='x')
    except openai.NotFoundError:
        return
    raise AssertionError('the model was found')

"""Steps for the authentication of callers."""

import hashlib
import types

import behave
import result

from eelgrassknot.frontend import accounts
from eelgrassknot.settings import text as services_text


@behave.given('client accounts whose keys are {first}, {second} and {third}')
def given_accounts(context, first, second, third):
    listed = [
        services_text.ClientAccount(
            key, hashlib.sha256(key.encode()).hexdigest()
        )
        for key in (first, second, third)
    ]
    context.accounts = accounts.Accounts(
        types.SimpleNamespace(client_accounts=listed)
    )


@behave.when('a caller sends the authorization bytes {sent}')
def send_authorization(context, sent):
    header = sent.encode('utf-8').decode('latin-1')
    context.found = context.accounts.authenticate(header)


@behave.then('the account is {account}')
def account_found(context, account):
    match context.found:
        case result.Ok(found):
            assert found.client_account == account, found
        case result.Err():
            assert account == 'unknown'

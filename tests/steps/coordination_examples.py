"""Steps for the doctest examples."""

import doctest
import importlib
import pkgutil

import behave

MIN_EXAMPLES = 30


@behave.then('the examples of "{package}" pass')
def examples_run(context, package):
    root = importlib.import_module(package)
    attempted = 0
    for module in pkgutil.iter_modules(root.__path__):
        name = f'{package}.{module.name}'
        outcome = doctest.testmod(importlib.import_module(name))
        assert outcome.failed == 0, name
        attempted += outcome.attempted
    assert attempted >= MIN_EXAMPLES, attempted

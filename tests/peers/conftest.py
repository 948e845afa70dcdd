import pytest
from loguru import logger


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(autouse=True)
def quiet_log():
    """Keep the many lines of simulated fleets out of the reports."""
    logger.disable("gentianfold")
    yield
    logger.enable("gentianfold")

package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import loadbalancer.AttemptResult;
import loadbalancer.node.Config;
import org.junit.jupiter.api.Test;

/**
 * What is measured must be the module at work: requests that are sent and served, lists that are
 * read.
 */
class ModuleDriverTest {
    private static ModuleDriver driver(int group, int upstreams) {
        return new ModuleDriver(new ModuleSetup(group, upstreams, 10, true));
    }

    @Test
    void requestsAreSentAndServed() {
        ModuleDriver driver = driver(3, 12);
        for (int i = 0; i < 500; i++) {
            driver.arrive(driver.nextRequest());
            driver.advance(20 * ModuleSetup.MILLI);
            AttemptResult end = driver.nextEnd();
            assertEquals("r" + i, end.requestId());
            driver.end(end);
        }
        assertEquals(0, driver.held());
        assertEquals(0, driver.underWay());
        assertEquals(0, driver.unserved());
    }

    @Test
    void requestsWithoutRoomAreHeldUntilOneEnds() {
        ModuleDriver driver = driver(860, 12);
        while (driver.held() < 64) {
            driver.arrive(driver.nextRequest());
        }
        int underWay = driver.underWay();
        assertTrue(underWay > 0);
        assertEquals(driver.requests(), underWay + 64);
    }

    @Test
    void timersGoOnInVirtualTime() {
        ModuleDriver driver = driver(860, 12);
        driver.advance(10 * ModuleSetup.SECOND);
        double aSecond = driver.timerTimes().calls() / 10.0;
        assertTrue(aSecond > 15 && aSecond < 30, () -> "idle sweeps a second: " + aSecond);
    }

    @Test
    void theConfigurationThatIsMadeUpIsReadWhole() throws Exception {
        byte[] text = new ConfigurationText(300, 700).bytes();
        Config config = Config.parse(text);
        assertEquals(300, config.known().entries().size());
        assertEquals(700, config.facts().tenantNames().size());
        assertEquals(860, config.facts().settings().balancerCount());
        assertTrue(new String(text, StandardCharsets.UTF_8).contains("\"upstream-299\""));
    }
}

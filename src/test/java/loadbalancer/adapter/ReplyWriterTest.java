package loadbalancer.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import loadbalancer.LoadBalancerActions;
import org.junit.jupiter.api.Test;

/** Tests the encoding of actions in a reply. */
class ReplyWriterTest {
    @Test
    void writesEveryActionWithTheNamesOfTheProtocol() throws Exception {
        ReplyWriter reply = new ReplyWriter();
        reply.begin();
        LoadBalancerActions actions = reply.actionsOf(4);
        actions.sendAttempt("r", "u", 80_000);
        actions.reject("r", 1_500_000);
        actions.fail("r");
        actions.cancelAttempt("r", 2);
        actions.scheduleTimer("t", 1);
        actions.probeEndpoint("u");
        actions.closeIdleConnections("u");
        actions.watchEndpointList(false);
        actions.fetchEndpointList();
        actions.sendToPeer(-1, new byte[] {0x0f});
        actions.sendToPeer(3, new byte[] {(byte) 0xa0});
        actions.log("two \"words\"");
        reply.reportBug(4, "broken");
        String expected =
                String.join(
                        ",",
                        "{\"kind\":\"relay\"@,\"corr\":\"r\",\"upstream\":\"u\",\"allow-for-s\":0.080000}",
                        "{\"kind\":\"turn-away\"@,\"corr\":\"r\",\"come-back-s\":1.500000}",
                        "{\"kind\":\"surrender\"@,\"corr\":\"r\"}",
                        "{\"kind\":\"cancel\"@,\"corr\":\"r\",\"attempt\":2}",
                        "{\"kind\":\"remind\"@,\"ctx\":\"t\",\"sleep-for-s\":0.000001}",
                        "{\"kind\":\"ask-load\"@,\"upstream\":\"u\"}",
                        "{\"kind\":\"shut-idle\"@,\"upstream\":\"u\"}",
                        "{\"kind\":\"tail\"@,\"want\":false}",
                        "{\"kind\":\"reload\"@}",
                        "{\"kind\":\"share\"@,\"target\":\"all\",\"body\":\"0f\"}",
                        "{\"kind\":\"share\"@,\"target\":3,\"body\":\"a0\"}",
                        "{\"kind\":\"record\"@,\"msg\":\"two \\\"words\\\"\"}",
                        "{\"kind\":\"bug\"@,\"msg\":\"broken\"}");
        assertEquals(
                "{\"decisions\":[" + expected.replace("@", ",\"who\":4") + "]}\n",
                reply.end().toString(StandardCharsets.UTF_8));
    }
}

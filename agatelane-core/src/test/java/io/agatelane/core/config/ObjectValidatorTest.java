package io.agatelane.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.agatelane.core.config.query.FieldError;
import io.agatelane.core.config.query.ObjectValidator;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.Model;
import io.agatelane.core.model.Operation;
import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.model.Service;
import io.agatelane.core.model.Upstream;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ObjectValidatorTest {
    private static final String DIGEST = "ab".repeat(32);
    private static final ConfigState STATE = state(
            new RoutingPolicy("p", 1, 1, 1, 0, 0),
            new Model("m", "w1", 1_000, 100, "p"),
            new Service("s", "permits", List.of(new Operation("GET", "status/*", true)), "", 1_000),
            new ClientAccount("a", List.of(DIGEST), 10, 10, 1, "p"));

    @DataProvider
    public Object[][] objects() {
        Operation operation = new Operation("POST", "file", false);
        return new Object[][] {
            {new RoutingPolicy("p", 1, 1, 100, 10, 50), List.of()},
            {
                new RoutingPolicy("-p", 0, 0, 101, 11, 51),
                List.of(
                        "/name",
                        "/routing_policy/first_token_deadline_millis",
                        "/routing_policy/long_request_millis",
                        "/routing_policy/long_share_percent",
                        "/routing_policy/hedge_percent",
                        "/routing_policy/retry_percent")
            },
            {new Model("org/m:7b", "sha256:1", 10, 10, ""), List.of()},
            {
                new Model("m n", "w 1", 10, 11, "q"),
                List.of("/name", "/model/weights_version", "/model/default_max_tokens", "/model/routing_policy")
            },
            {new ClientAccount("a", List.of(DIGEST), 0, 0, 1_000, ""), List.of()},
            {
                new ClientAccount("b", List.of(DIGEST, "AB".repeat(32)), 5, 0, 0, "q"),
                List.of(
                        "/client_account/burst_tokens",
                        "/client_account/weight",
                        "/client_account/routing_policy",
                        "/client_account/api_key_sha256/0",
                        "/client_account/api_key_sha256/1")
            },
            {new Service("s", "permits", List.of(operation), "status/{key}", 1), List.of()},
            {
                new Service(
                        "t", "permits", List.of(operation, operation, new Operation("post", "a*b", true)), "status", 0),
                List.of(
                        "/service/path_prefix",
                        "/service/operations/1",
                        "/service/operations/2/method",
                        "/service/operations/2/path",
                        "/service/status_path",
                        "/service/timeout_millis")
            },
            {new Service("t", "a/b", List.of(), "", 1), List.of("/service/path_prefix", "/service/operations")},
            {engine("http://10.0.0.1:9000", List.of("m"), ""), List.of()},
            {engine("http://[::1]:9000", List.of(), "s"), List.of()},
            {engine("http://10.0.0.1:9000", List.of("m"), "s"), List.of("/upstream/models")},
            {engine("http://10.0.0.1:9000", List.of(), ""), List.of("/upstream/models")},
            {
                engine("http://10.0.0.1:9000/", List.of("m", "m", "n"), ""),
                List.of("/upstream/base_url", "/upstream/models/1", "/upstream/models/2")
            },
            {engine("http://host:9000", List.of(), "t"), List.of("/upstream/base_url", "/upstream/service")},
            {engine("http://10.0.0.256:9000", List.of("m"), ""), List.of("/upstream/base_url")},
            {engine("http://10.0.0.1:65536", List.of("m"), ""), List.of("/upstream/base_url")},
            {engine("https://10.0.0.1:443", List.of("m"), ""), List.of("/upstream/base_url")},
        };
    }

    /** Guards against accepting objects that routers cannot use, and against reporting only some of the errors. */
    @Test(dataProvider = "objects")
    public void findsEachErrorWithItsLocation(Record value, List<String> locations) {
        assertEquals(
                ObjectValidator.findErrors(STATE, key(value), value).stream()
                        .map(FieldError::location)
                        .toList(),
                locations);
    }

    /** Guards against a validation failure without a type or a location. */
    @Test
    public void errorsBecomeOneTypedFailure() {
        Upstream upstream = engine("nowhere", List.of(), "");
        AgatelaneException failure =
                expectThrows(AgatelaneException.class, () -> ObjectValidator.validate(STATE, key(upstream), upstream));
        assertEquals(failure.type(), FailureType.INVALID_OBJECT);
        assertEquals(failure.location(), "/upstream/base_url");
        assertEquals(
                failure.getMessage(),
                "upstream/e is not valid: /upstream/base_url: expected http://IP:PORT, found \"nowhere\"; "
                        + "/upstream/models: expected either models or a service, not both");
    }

    private static Upstream engine(String url, List<String> models, String service) {
        return new Upstream("e", url, "zone-a", models, service, 1, true, false);
    }

    static ConfigState state(Record... values) {
        ConfigState state = ConfigState.empty();
        for (Record value : values) {
            long revision = state.revision() + 1;
            ObjectKey key = key(value);
            int index = ShardLayout.shardOf(key);
            long version = ShardLayout.versionFor(revision, 0);
            Shard shard = state.shard(index).with(new StoredObject(key, revision, value), version);
            Change change = new Change("change-" + revision, revision, key);
            state = state.advance(state.head().withChange(change, index, version, 0), List.of(shard));
        }
        return state;
    }

    private static ObjectKey key(Record value) {
        for (ObjectKind kind : ObjectKind.values()) {
            if (kind.valueType().isInstance(value)) {
                return new ObjectKey(kind, name(value));
            }
        }
        throw new AssertionError(value);
    }

    private static String name(Record value) {
        String text = value.toString();
        return text.substring(text.indexOf("name=") + 5, text.indexOf(','));
    }
}

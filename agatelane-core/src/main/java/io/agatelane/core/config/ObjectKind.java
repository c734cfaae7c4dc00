package io.agatelane.core.config;

import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.Model;
import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.model.Service;
import io.agatelane.core.model.Upstream;

/** Kind of a configuration object, which determines the type of its value. */
public enum ObjectKind {
    CLIENT_ACCOUNT("client_account", ClientAccount.class),
    MODEL("model", Model.class),
    ROUTING_POLICY("routing_policy", RoutingPolicy.class),
    SERVICE("service", Service.class),
    UPSTREAM("upstream", Upstream.class);

    private final String fieldName;
    private final Class<? extends Record> valueType;

    ObjectKind(String fieldName, Class<? extends Record> valueType) {
        this.fieldName = fieldName;
        this.valueType = valueType;
    }

    /** Returns the name of the kind in the operators' schema; also the first part of the location of a field error. */
    public String fieldName() {
        return fieldName;
    }

    /** Returns the type of the values of this kind. */
    public Class<? extends Record> valueType() {
        return valueType;
    }
}

package io.agatelane.node.cfg;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.util.List;
import java.util.stream.Collectors;

/** Reports all faults of a settings file. The message has one line for each fault. */
public final class SettingsException extends AgatelaneException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    public SettingsException(List<SettingsFault> faults) {
        super(
                FailureType.INVALID_SETTINGS,
                faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    public List<SettingsFault> faults() {
        return faults;
    }
}

package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.radishthread.kernel.EventLog;

/**
 * Carries out the effects of one event in their order. They are about different requests
 * or instances, so a failure of one is logged and does not keep the others from being
 * carried out. Safe for use by several threads if the action is.
 *
 * @param <E> the type of the effects
 */
final class EffectExecutor<E> {

	private final EventLog eventLog;

	private final Consumer<E> action;

	/**
	 * Creates an executor.
	 * @param eventLog the log of failures
	 * @param action carries out one effect
	 */
	EffectExecutor(EventLog eventLog, Consumer<E> action) {
		this.eventLog = eventLog;
		this.action = action;
	}

	/**
	 * Carries out effects.
	 * @param effects the effects of one event
	 */
	void execute(List<? extends E> effects) {
		effects.forEach(this::execute);
	}

	private void execute(E effect) {
		try {
			this.action.accept(effect);
		}
		catch (RuntimeException ex) {
			this.eventLog.failure("effect-failed", ex).with("effect", effect.getClass().getSimpleName()).write();
		}
	}

}

package org.hollypick.control;

import java.util.Map;
import org.hollypick.agent.AgentClient;
import org.hollypick.cloud.CloudClient;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.control.graphs.GraphFactory;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.MachineType;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;

/**
 * The parts of a controller that outlive its terms of leadership: each {@link LeaderTerm} works on them. They are
 * confined to the event loop.
 *
 * @param replica the watched replica of the store's records
 * @param dependencies the dependency graph of the jobs in {@code replica}
 * @param machineTypes by name; the controller refreshes their prices in place
 * @param graphFactory creates task graphs, if the operators switched these on
 */
public record ControllerContext(
        EventLoop eventLoop,
        Settings settings,
        OperatorSettings operatorSettings,
        StoreReplica replica,
        JobDependencies dependencies,
        KeyValueStoreClient store,
        CloudClient cloud,
        AgentClient agentClient,
        Map<String, MachineType> machineTypes,
        Membership membership,
        GraphFactory graphFactory) {}
